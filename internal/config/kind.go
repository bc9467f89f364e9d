package config

import (
	"encoding/json"
	"maps"
	"reflect"
	"strconv"
	"strings"
)

// kind holds the operations on one kind of declared object. Generic code uses
// them to handle all kinds.
type kind struct {
	fields map[string]bool
	// clone replaces the kind's map in c by a copy.
	clone func(c *Config)
	// put decodes an object into c. The map must have been cloned before.
	put    func(c *Config, name string, value []byte) error
	remove func(c *Config, name string)
	names  func(c *Config) []string
	get    func(c *Config, name string) any
}

// The patch keys of scalars.
const (
	KeySeats           = "seats"
	KeySharesPerTarget = "shares-per-target"
)

var kinds = map[string]kind{
	"zone":      kindOf(func(c *Config) *map[string]Zone { return &c.Zones }, nil),
	"link":      kindOf(func(c *Config) *map[string]Link { return &c.Links }, nil),
	"contract":  kindOf(func(c *Config) *map[string]Contract { return &c.Contracts }, (*Contract).applyDefaults),
	"account":   kindOf(func(c *Config) *map[string]Account { return &c.Accounts }, nil),
	"service":   kindOf(func(c *Config) *map[string]Service { return &c.Services }, (*Service).applyDefaults),
	"target":    kindOf(func(c *Config) *map[string]Target { return &c.Targets }, (*Target).applyDefaults),
	"route":     kindOf(func(c *Config) *map[string]Route { return &c.Routes }, nil),
	"wait-rule": kindOf(func(c *Config) *map[string]WaitRule { return &c.WaitRules }, nil),
}

// kindOf returns the kind whose objects are in the given map. complete applies the
// defaults to one object; it may be nil.
func kindOf[T any](objects func(*Config) *map[string]T, complete func(*T)) kind {
	return kind{
		fields: jsonFields(reflect.TypeFor[T]()),
		clone: func(c *Config) {
			own := maps.Clone(*objects(c))
			if own == nil {
				own = map[string]T{}
			}
			*objects(c) = own
		},
		put: func(c *Config, name string, value []byte) error {
			var object T
			if err := json.Unmarshal(value, &object); err != nil {
				return err
			}
			if complete != nil {
				complete(&object)
			}
			(*objects(c))[name] = object
			return nil
		},
		remove: func(c *Config, name string) { delete(*objects(c), name) },
		names:  func(c *Config) []string { return sortedKeys(*objects(c)) },
		get: func(c *Config, name string) any {
			object, ok := (*objects(c))[name]
			if !ok {
				return nil
			}
			return object
		},
	}
}

// jsonFields returns the JSON names of the fields of a struct type.
func jsonFields(t reflect.Type) map[string]bool {
	fields := map[string]bool{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		fields[name] = true
	}
	return fields
}

// Kinds returns the kinds of declared objects in alphabetical order.
func Kinds() []string { return sortedKeys(kinds) }

func isScalar(key string) bool { return key == KeySeats || key == KeySharesPerTarget }

// documents returns every declared object and scalar by key in its canonical
// encoding, including unknown fields and kinds. The result must not be modified.
func (c *Config) documents() map[string]json.RawMessage {
	if c.docs != nil {
		return c.docs
	}
	docs := map[string]json.RawMessage{
		KeySeats:           json.RawMessage(strconv.Itoa(c.Seats)),
		KeySharesPerTarget: json.RawMessage(strconv.Itoa(c.SharesPerTarget)),
	}
	for kindName, k := range kinds {
		for _, name := range k.names(c) {
			docs[kindName+"/"+name] = encodeValue(k.get(c, name))
		}
	}
	return docs
}

// encodeValue encodes a declared object. Encoding fails only for numbers that are
// not finite, which no decoder returns.
func encodeValue(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		return json.RawMessage("null")
	}
	out, err := canonical(data)
	if err != nil {
		return json.RawMessage("null")
	}
	return out
}
