// Package matrix injects one fault, or a pair of faults, at each step of the
// work of a fleet of real processes and checks the promises of docs/design.md
// from outside: by what callers and operators were told and by the records of
// the stand-ins. docs/FAULTS.md describes the cells and their verdicts.
package matrix
