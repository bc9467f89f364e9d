package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const testDeclarations = `
[zone.iasi]
region = "ro-moldova"
[zone.bacau]
region = "ro-moldova"
[contract.standard]
requests-per-second = 10
max-concurrent = 4
[account.librarians]
contract = "standard"
[service.lm]
kind = "model"
[service.lending]
kind = "plain"
[target.e1]
service = "lm"
zone = "iasi"
address = "10.0.0.1:80"
models = ["catalogue"]
kv-tokens = 1000
prefill-tokens-per-second = 10
decode-tokens-per-second = 10
max-running = 4
[route.lm]
model = "catalogue"
service = "lm"
accounts = ["librarians"]
`

func put(key, value string) Operation {
	return Operation{Action: Put, Key: key, Value: json.RawMessage(value)}
}
func remove(key string) Operation { return Operation{Action: Delete, Key: key} }
func patchOf(base *Config, operations ...Operation) Patch {
	return Patch{ID: "p", BaseVersion: base.Version, Submitter: "ana", Operations: operations}
}

// declaredConfig returns version 1, built from testDeclarations.
func declaredConfig(t testing.TB) *Config {
	parsed, err := Parse(testDeclarations)
	assert.NilError(t, err)
	_, c, err := Accept(Empty(), patchOf(Empty(), Diff(Empty(), parsed)...), time.UnixMilli(1))
	assert.NilError(t, err)
	return c
}

// Guards against acceptance of a patch that breaks the configuration, and against
// an error that does not name the key.
func TestApplyRefuses(t *testing.T) {
	base := declaredConfig(t)
	for _, c := range []struct {
		key string
		op  Operation
	}{
		{"planet/mars", put("planet/mars", `{}`)},
		{"zone/", put("zone/", `{"region":"x"}`)},
		{"zone/iasi.Region", put("zone/iasi", `{"Region":"x"}`)},
		{"zone/iasi.colour", put("zone/iasi", `{"region":"x","colour":1}`)},
		{"zone/iasi", put("zone/iasi", `{"region":"x","region":"y"}`)},
		{"zone/iasi", put("zone/iasi", `{"region":7}`)},
		{"zone/iasi", remove("zone/iasi")},
		{"service/lm", remove("service/lm")},
		{"account/librarians", remove("account/librarians")},
		{"contract/standard", remove("contract/standard")},
		{"zone/none", remove("zone/none")},
		{"account.x.contract", put("account/x", `{"contract":"none"}`)},
		{"seats", put("seats", `12`)},
		{"seats", put("seats", `-1`)},
		{"shares-per-target", put("shares-per-target", `2`)},
		{"contract/standard.requests_per_second", put("contract/standard", `{"requests_per_second":9,"max_concurrent":4}`)},
		{"contract/standard.tokens_per_second", put("contract/standard", `{"requests_per_second":10,"max_concurrent":4,"tokens_per_second":5}`)},
		{"contract/standard.max_deadline", put("contract/standard", `{"requests_per_second":10,"max_concurrent":4,"max_deadline":"2m"}`)},
	} {
		_, err := Apply(base, patchOf(base, c.op))
		var problems Problems
		var problem Problem
		if errors.As(err, &problem) {
			problems = Problems{problem}
		} else if !errors.As(err, &problems) {
			t.Fatalf("%s %s: got %v", c.op.Key, c.op.Value, err)
		}
		assert.Equal(t, problems[0].Key, c.key, err)
		assert.Assert(t, problems[0].Allowed != "")
	}
	_, err := Apply(base, patchOf(base, remove("route/lm"), remove("route/lm")))
	assert.ErrorContains(t, err, "one operation for each key")
}

// Guards against an explicit zero that silently becomes the default.
func TestParseRefusesDeclaredZeros(t *testing.T) {
	for _, key := range []string{KeySeats, KeySharesPerTarget} {
		_, err := Parse(key + " = 0")
		assert.ErrorContains(t, err, key+`: found "0", allowed: a number above 0`)
	}
}

// Guards against rejection of a change of seats although no target accepts work,
// and against its acceptance if the same patch returns targets to service.
func TestSeatsChangeWhileNothingWorks(t *testing.T) {
	base := declaredConfig(t)
	out, err := Apply(base, patchOf(base, put("zone/iasi", `{"region":"ro-moldova","out_of_service":true}`)))
	assert.NilError(t, err)
	next, err := Apply(out, patchOf(out, put("seats", "12"), put("shares-per-target", "12")))
	assert.NilError(t, err)
	assert.Equal(t, next.Seats, 12)
	_, err = Apply(out, patchOf(out, put("seats", "12"), put("zone/iasi", `{"region":"ro-moldova"}`)))
	assert.ErrorContains(t, err, "target/e1 may get work")
}

// Guards against a write to a map that readers of the base share, and against
// copies of the kinds that a patch does not change.
func TestApplyCopiesOnlyWhatChanges(t *testing.T) {
	base := declaredConfig(t)
	before := base.digest()
	next, err := Apply(base, patchOf(base, put("zone/iasi", `{"region":"ro-moldova","out_of_service":true}`)))
	assert.NilError(t, err)
	assert.Assert(t, next.Zones["iasi"].OutOfService && !base.Zones["iasi"].OutOfService)
	assert.Equal(t, base.digest(), before)
	assert.Equal(t, reflect.ValueOf(next.Targets).Pointer(), reflect.ValueOf(base.Targets).Pointer())
	assert.Assert(t, reflect.ValueOf(next.Zones).Pointer() != reflect.ValueOf(base.Zones).Pointer())
}

// Guards against a diff that does not produce the intended configuration.
func TestDiffLeadsToTheDeclarations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func() *Config {
			c := Empty()
			c.docs = nil
			c.Zones, c.Contracts = map[string]Zone{}, map[string]Contract{}
			for i := range rapid.IntRange(0, 4).Draw(t, "zones") {
				c.Zones[fmt.Sprint("z", i)] = Zone{Region: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "region"), OutOfService: rapid.Bool().Draw(t, "out")}
			}
			for i := range rapid.IntRange(0, 2).Draw(t, "contracts") {
				c.Contracts[fmt.Sprint("c", i)] = Contract{MaxConcurrent: rapid.IntRange(0, 3).Draw(t, "max")}
			}
			c.Seats = rapid.IntRange(9, 12).Draw(t, "seats")
			c.ApplyDefaults()
			return c
		}
		from, to := draw(), draw()
		operations := Diff(from, to)
		if len(operations) == 0 {
			assert.Equal(t, from.digest(), to.digest())
			return
		}
		got, err := Apply(from, patchOf(from, operations...))
		assert.NilError(t, err)
		assert.Equal(t, len(Diff(got, to)), 0)
	})
}

// Guards against the loss of unknown fields, which a newer program version
// declared: in a replay, in a snapshot, or by a patch from this version.
func TestUnknownFieldsSurvive(t *testing.T) {
	base := declaredConfig(t)
	patch := `{"id":"new","base":1,"submitter":"ana","note":"later","operations":[
	 {"action":"put","key":"zone/iasi","value":{"region":"ro-moldova","power":"solar"}},
	 {"action":"put","key":"tier/gold","value":{"rank":1}}]}`
	_, err := DecodePatch([]byte(patch))
	assert.ErrorContains(t, err, "note")
	record := fmt.Appendf(nil, `{"version":2,"accepted_unix_ms":5,"signature":"x","patch":%s}`, patch)
	next, err := Replay(base, record)
	assert.NilError(t, err)
	assert.Equal(t, next.Hash, ChainHash(base.Hash, record))
	rebuilt, err := next.Document().Config()
	assert.NilError(t, err)
	for _, c := range []*Config{next, rebuilt} {
		assert.Equal(t, string(c.Document().Objects["zone/iasi"]), `{"power":"solar","region":"ro-moldova"}`)
		assert.Equal(t, string(c.Document().Objects["tier/gold"]), `{"rank":1}`)
		for _, o := range []Operation{put("zone/iasi", `{"region":"x"}`), remove("route/lm")} {
			_, err = Apply(c, patchOf(c, o))
			assert.ErrorContains(t, err, "newer program version")
		}
		_, err = Apply(c, patchOf(c, put("zone/bacau", `{"region":"x"}`)))
		assert.NilError(t, err)
	}
	_, err = Replay(base, []byte(strings.Replace(string(record), `"put"`, `"merge"`, 1)))
	assert.ErrorContains(t, err, "merge")
}

// atSnapshot returns the configuration at version SnapshotInterval and its encoded
// snapshot.
func atSnapshot(t testing.TB) (*Config, []byte) {
	c := declaredConfig(t)
	for {
		region := fmt.Sprintf(`{"region":"r%d"}`, c.Version)
		record, next, err := Accept(c, patchOf(c, put("zone/bacau", region)), time.UnixMilli(2))
		assert.NilError(t, err)
		if next.Version == SnapshotInterval {
			data, err := json.Marshal(NewSnapshot(next, c.Hash, record))
			assert.NilError(t, err)
			return next, data
		}
		c = next
	}
}

// Guards against a snapshot or record with modified content under the same hash.
func TestSnapshotProvesItsContent(t *testing.T) {
	c, data := atSnapshot(t)
	_, got, err := DecodeSnapshot(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, got.Document(), c.Document())
	_, _, err = DecodeSnapshot([]byte(strings.Replace(string(data), "10.0.0.1", "10.0.0.9", 1)))
	assert.ErrorContains(t, err, "state")
	_, other, err := DecodeSnapshot([]byte(strings.Replace(string(data), `"previous":"`, `"previous":"0`, 1)))
	assert.NilError(t, err)
	assert.Assert(t, other.Hash != c.Hash)
}

func FuzzDecodePatch(f *testing.F) {
	f.Add([]byte(`{"id":"a","base":1,"submitter":"x","operations":[{"action":"put","key":"zone/a","value":{"region":"r"}}]}`))
	f.Add([]byte(`{"operations":[{"action":"delete","key":"target/e1"},null]}`))
	base := declaredConfig(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := DecodePatch(data)
		if err != nil {
			return
		}
		encoded, err := p.Encode()
		assert.NilError(t, err)
		again, err := DecodePatch(encoded)
		assert.NilError(t, err)
		twice, err := again.Encode()
		assert.NilError(t, err)
		assert.Equal(t, string(twice), string(encoded))
		if next, err := Apply(base, p); err == nil {
			assert.Equal(t, len(next.Validate()), 0)
		}
	})
}

func FuzzReplay(f *testing.F) {
	f.Add([]byte(`{"version":2,"accepted_unix_ms":5,"patch":{"id":"a","base":1,"operations":[{"action":"put","key":"zone/a","value":{"region":"r","x":1}}]}}`))
	base := declaredConfig(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		next, err := Replay(base, data)
		if err != nil {
			return
		}
		again, err := next.Document().Config()
		assert.NilError(t, err)
		assert.Equal(t, again.digest(), next.digest())
	})
}

func FuzzDecodeSnapshot(f *testing.F) {
	_, data := atSnapshot(f)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		s, c, err := DecodeSnapshot(data)
		if err == nil {
			assert.Equal(t, c.Hash, ChainHash(s.PreviousHash, s.Record))
		}
	})
}
