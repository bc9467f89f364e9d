// Package matrix injects one fault, or a pair of faults, at each step of an
// operation of a fleet of real processes. It checks the promises R1 to R10 of
// docs/design.md from outside, by the responses that callers and operators
// received and by the records of the stand-ins. docs/FAULTS.md describes the
// cells and their verdicts.
package matrix
