package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"regexp"
	"strconv"
	"strings"
)

// Action is the action of an operation.
type Action string

// The actions.
const (
	Put    Action = "put"
	Delete Action = "delete"
)

// MaxPatchBytes bounds an encoded patch, which is stored in one row of the table.
const MaxPatchBytes = 1 << 20

// Operation writes or deletes one declared object or scalar.
type Operation struct {
	Action Action `json:"action"`
	// Key is kind/name, such as target/e1, or the name of a scalar.
	Key string `json:"key"`
	// Value is the whole object or scalar of a put.
	Value json.RawMessage `json:"value,omitempty"`
}

// Patch is a change of the configuration relative to a base version.
type Patch struct {
	ID          string      `json:"id"`
	BaseVersion uint64      `json:"base"`
	Submitter   string      `json:"submitter"`
	Operations  []Operation `json:"operations"`
}

var (
	namePattern     = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)
	patchFields     = jsonFields(reflect.TypeFor[Patch]())
	operationFields = jsonFields(reflect.TypeFor[Operation]())
)

const nameAllowed = "1 to 64 letters, digits, dots, underscores or hyphens"

// ValidName reports whether s is a valid patch id or object name.
func ValidName(s string) bool { return namePattern.MatchString(s) }

// DecodePatch decodes a submitted patch and rejects unknown fields.
func DecodePatch(data []byte) (Patch, error) {
	var p Patch
	if len(data) > MaxPatchBytes {
		return p, Problem{Key: "(patch)", Found: fmt.Sprintf("%d bytes", len(data)), Allowed: fmt.Sprintf("at most %d bytes", MaxPatchBytes)}
	}
	data, err := canonical(data)
	if err != nil {
		return p, Problem{Key: "(patch)", Found: err.Error(), Allowed: "one JSON object without repeated keys"}
	}
	if err := rejectUnknownFields("(patch)", data, patchFields); err != nil {
		return p, err
	}
	var parts struct {
		Operations []json.RawMessage `json:"operations"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return p, Problem{Key: "operations", Found: err.Error(), Allowed: "a list of operations"}
	}
	for i, operation := range parts.Operations {
		if err := rejectUnknownFields(fmt.Sprintf("operations[%d]", i), operation, operationFields); err != nil {
			return p, err
		}
	}
	if err := json.Unmarshal(data, &p); err != nil {
		return p, Problem{Key: "(patch)", Found: err.Error(), Allowed: "fields of the documented types"}
	}
	return p, nil
}

func rejectUnknownFields(key string, data []byte, known map[string]bool) error {
	_, unknown, err := splitFields(data, known)
	if err != nil {
		return Problem{Key: key, Found: err.Error(), Allowed: "a JSON object"}
	}
	if len(unknown) > 0 {
		return Problem{Key: key + "." + unknown[0], Found: "unknown field", Allowed: strings.Join(sortedKeys(known), ", ")}
	}
	return nil
}

// Encode returns the canonical encoding of p.
func (p Patch) Encode() ([]byte, error) {
	data, err := json.Marshal(p)
	if err != nil {
		return nil, Problem{Key: "(patch)", Found: err.Error(), Allowed: "values in JSON"}
	}
	return canonical(data)
}

// Digest returns a hash of the content of p. Two patches with the same id and
// different digests are different patches.
func (p Patch) Digest() (string, error) {
	data, err := p.Encode()
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

// Keys returns the keys of the operations of p.
func (p Patch) Keys() []string {
	keys := make([]string, len(p.Operations))
	for i, o := range p.Operations {
		keys[i] = o.Key
	}
	return keys
}

// Apply applies a submitted patch to base and returns the result, or the problems
// for which the patch is rejected. Only the maps of the kinds that p changes are
// copied. The result keeps the version and hash of base.
func Apply(base *Config, p Patch) (*Config, error) {
	if problems := checkPatch(base, p); len(problems) > 0 {
		return nil, problems
	}
	next, err := applyOperations(base, p.Operations)
	if err != nil {
		return nil, err
	}
	problems := checkReferences(base, next, p.Operations)
	problems = append(problems, checkSeats(base, next)...)
	problems = append(problems, checkContractLimits(base, next)...)
	problems = append(problems, next.Validate()...)
	if len(problems) > 0 {
		return nil, problems
	}
	return next, nil
}

// checkPatch performs the checks of p that do not need its result.
func checkPatch(base *Config, p Patch) Problems {
	v := &validator{}
	v.require(ValidName(p.ID), "id", p.ID, nameAllowed)
	v.require(p.Submitter != "", "submitter", "", "the name of an operator")
	v.require(p.BaseVersion == base.Version, "base", fmt.Sprint(p.BaseVersion), fmt.Sprint(base.Version))
	v.require(len(p.Operations) > 0, "operations", "[]", "at least one operation")
	seen := map[string]bool{}
	for _, o := range p.Operations {
		v.require(!seen[o.Key], o.Key, "two operations", "one operation for each key")
		seen[o.Key] = true
		checkOperation(v, base, o)
	}
	return v.problems
}

func checkOperation(v *validator, base *Config, o Operation) {
	v.require(o.Action == Put || o.Action == Delete, o.Key, string(o.Action), `action "put" or "delete"`)
	v.require(o.Action == Put || len(o.Value) == 0, o.Key, "a value", "no value in a delete")
	if isScalar(o.Key) {
		checkScalar(v, o)
		return
	}
	kindName, name, _ := strings.Cut(o.Key, "/")
	k, known := kinds[kindName]
	if !known {
		v.require(false, o.Key, kindName, "a key "+KeySeats+", "+KeySharesPerTarget+" or kind/name with a kind of "+strings.Join(Kinds(), ", "))
		return
	}
	v.require(ValidName(name), o.Key, name, "a name of "+nameAllowed)
	checkUnknownFields(v, base, o)
	if o.Action == Delete {
		v.require(k.get(base, name) != nil, o.Key, "not declared", "a declared object to delete")
		return
	}
	if _, err := canonical(o.Value); err != nil {
		v.require(false, o.Key, err.Error(), "one JSON object without repeated keys")
		return
	}
	if err := rejectUnknownFields(o.Key, o.Value, k.fields); err != nil {
		v.problems = append(v.problems, err.(Problem))
	}
}

func checkScalar(v *validator, o Operation) {
	n, err := strconv.Atoi(string(bytes.TrimSpace(o.Value)))
	v.require(o.Action == Delete || (err == nil && n > 0), o.Key, string(o.Value), "a whole number above 0")
}

// checkUnknownFields rejects the replacement of an object with unknown fields,
// which would drop them. While there are any unknown fields, it also rejects each
// delete, because such a field may refer to the deleted object.
func checkUnknownFields(v *validator, base *Config, o Operation) {
	const remedy = "a patch submitted through a VM and an oriolectl of the newer program version"
	if o.Action == Put {
		unknown := base.unknownFields[o.Key]
		v.require(len(unknown) == 0, o.Key, "declared with unknown fields "+strings.Join(unknown, ", "), remedy)
		return
	}
	for _, key := range sortedKeys(base.unknownFields) {
		v.require(false, o.Key, "a delete while "+key+" has unknown fields "+strings.Join(base.unknownFields[key], ", "), remedy)
		return
	}
}

// applyOperations applies operations to a copy of base. Unknown fields and kinds
// are preserved in the documents.
func applyOperations(base *Config, operations []Operation) (*Config, error) {
	next := *base
	next.docs = maps.Clone(base.documents())
	next.unknownFields = maps.Clone(base.unknownFields)
	cloned := map[string]bool{}
	for _, o := range operations {
		kindName, name, _ := strings.Cut(o.Key, "/")
		k, known := kinds[kindName]
		if known && !cloned[kindName] {
			k.clone(&next)
			cloned[kindName] = true
		}
		if err := next.applyOperation(o, k, name); err != nil {
			return nil, Problem{Key: o.Key, Found: err.Error(), Allowed: "an object with fields of the documented types"}
		}
	}
	return &next, next.readScalars()
}

// applyOperation applies one operation. k is the zero value for an unknown kind.
func (c *Config) applyOperation(o Operation, k kind, name string) error {
	delete(c.unknownFields, o.Key)
	if o.Action == Delete {
		delete(c.docs, o.Key)
		if k.remove != nil {
			k.remove(c, name)
		}
		return nil
	}
	if o.Action != Put {
		return fmt.Errorf("unknown action %q", o.Action)
	}
	value, err := canonical(o.Value)
	if err != nil {
		return err
	}
	c.docs[o.Key] = value
	if k.put == nil {
		if !isScalar(o.Key) {
			c.recordUnknown(o.Key, "(kind)")
		}
		return nil
	}
	fields, unknown, err := splitFields(value, k.fields)
	if err != nil {
		return err
	}
	if len(unknown) > 0 {
		c.recordUnknown(o.Key, unknown...)
	}
	return k.put(c, name, fields)
}

func (c *Config) recordUnknown(key string, fields ...string) {
	if c.unknownFields == nil {
		c.unknownFields = map[string][]string{}
	}
	c.unknownFields[key] = fields
}

// readScalars sets the scalars from the documents, or to their defaults.
func (c *Config) readScalars() error {
	c.Seats, c.SharesPerTarget = 0, 0
	for key, field := range map[string]*int{KeySeats: &c.Seats, KeySharesPerTarget: &c.SharesPerTarget} {
		value, ok := c.docs[key]
		if !ok {
			continue
		}
		if err := json.Unmarshal(value, field); err != nil {
			return Problem{Key: key, Found: string(value), Allowed: "a whole number above 0"}
		}
	}
	if c.Seats == 0 {
		c.Seats = DefaultSeats
	}
	if c.SharesPerTarget == 0 {
		c.SharesPerTarget = min(c.Seats, DefaultMaxSharesPerTarget)
	}
	return nil
}

// Diff returns the operations that change from into to: those on objects in the
// order of their keys, then those on scalars. An explicit default equals an
// omitted one.
func Diff(from, to *Config) []Operation {
	var out []Operation
	for _, kindName := range Kinds() {
		out = append(out, diffKind(kinds[kindName], kindName, from, to)...)
	}
	if from.Seats != to.Seats {
		out = append(out, Operation{Action: Put, Key: KeySeats, Value: encodeValue(to.Seats)})
	}
	if from.SharesPerTarget != to.SharesPerTarget {
		out = append(out, Operation{Action: Put, Key: KeySharesPerTarget, Value: encodeValue(to.SharesPerTarget)})
	}
	return out
}

func diffKind(k kind, kindName string, from, to *Config) []Operation {
	names := map[string]bool{}
	for _, name := range append(k.names(from), k.names(to)...) {
		names[name] = true
	}
	var out []Operation
	for _, name := range sortedKeys(names) {
		before, after := k.get(from, name), k.get(to, name)
		key := kindName + "/" + name
		switch {
		case after == nil:
			out = append(out, Operation{Action: Delete, Key: key})
		case before == nil || !bytes.Equal(encodeValue(before), encodeValue(after)):
			out = append(out, Operation{Action: Put, Key: key, Value: encodeValue(after)})
		}
	}
	return out
}
