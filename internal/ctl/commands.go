package ctl

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/confsync"
	"github.com/oriolefront/oriolefront/internal/operator"
)

func readDeclarations(file string) (*config.Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, usageError{err}
	}
	c, err := config.Parse(string(text))
	if err != nil {
		return nil, usageError{fmt.Errorf("%s: %w", file, err)}
	}
	return c, nil
}

func (p *program) check(file string) error {
	c, err := readDeclarations(file)
	if err != nil {
		return err
	}
	objects := len(c.Document().Objects)
	return p.print(map[string]any{"valid": true, "objects": objects}, func(w io.Writer) {
		fmt.Fprintf(w, "%s is valid: %d objects\n", file, objects)
	})
}

func (p *program) fetchDocument() (config.Document, error) {
	var d config.Document
	err := p.client.get(p.ctx, "/config", &d)
	return d, err
}

// diffFromActive returns the active configuration and the operations that turn
// it into the declarations in file.
func (p *program) diffFromActive(file string) (*config.Config, []config.Operation, error) {
	wanted, err := readDeclarations(file)
	if err != nil {
		return nil, nil, err
	}
	current, err := p.fetchConfig()
	if err != nil {
		return nil, nil, err
	}
	return current, config.Diff(current, wanted), nil
}

func (p *program) fetchConfig() (*config.Config, error) {
	d, err := p.fetchDocument()
	if err != nil {
		return nil, err
	}
	return d.Config()
}

func (p *program) diff(file string) error {
	current, operations, err := p.diffFromActive(file)
	if err != nil {
		return err
	}
	if err := p.printOperations(p.env.Stdout, current, operations); err != nil {
		return err
	}
	if len(operations) > 0 {
		return errDifference
	}
	return nil
}

// change is the old and the new value of one key.
type change struct {
	Action config.Action   `json:"action"`
	Key    string          `json:"key"`
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

func (p *program) printOperations(w io.Writer, current *config.Config, operations []config.Operation) error {
	before := current.Document().Objects
	changes := make([]change, len(operations))
	for i, o := range operations {
		changes[i] = change{Action: o.Action, Key: o.Key, Before: before[o.Key], After: o.Value}
	}
	if p.output == "json" {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(map[string]any{"base": current.Version, "changes": changes})
	}
	fmt.Fprintf(w, "against version %d: %d changes\n", current.Version, len(changes))
	for _, c := range changes {
		if c.Before != nil {
			fmt.Fprintf(w, "- %s %s\n", c.Key, c.Before)
		}
		if c.After != nil {
			fmt.Fprintf(w, "+ %s %s\n", c.Key, c.After)
		}
	}
	return nil
}

func (p *program) apply(file string) error {
	current, operations, err := p.diffFromActive(file)
	if err != nil {
		return err
	}
	return p.submit(current, operations)
}

// submit prints the operations and submits them as one patch. If -base is not
// the active version, it only looks up the verdict of the patch.
func (p *program) submit(current *config.Config, operations []config.Operation) error {
	patch := config.Patch{ID: p.id, BaseVersion: current.Version, Operations: operations}
	if p.base >= 0 && uint64(p.base) != current.Version {
		return p.handleBaseMismatch(current)
	}
	if len(operations) == 0 {
		return p.print(map[string]any{"changes": 0}, func(w io.Writer) {
			fmt.Fprintf(w, "no difference from version %d\n", current.Version)
		})
	}
	check := patch
	check.Submitter = "operator" // the server sets the owner of the key
	if _, err := config.Apply(current, check); err != nil {
		return invalidError{err}
	}
	if err := p.printOperations(p.env.Stderr, current, operations); err != nil {
		return err
	}
	fmt.Fprintf(p.env.Stderr, "patch -id %s -base %d\n", patch.ID, patch.BaseVersion)
	if !p.yes && !p.confirm() {
		return errors.New("not submitted")
	}
	verdict, err := p.client.submit(p.ctx, patch)
	if err != nil && verdict.Result != confsync.Refused {
		return err
	}
	return errors.Join(p.printVerdict(verdict), err)
}

// handleBaseMismatch looks up the verdict of a patch whose -base is not the
// active version. The active version was read before the patch is looked up, so
// a patch that is not found and whose base is older can never be accepted.
func (p *program) handleBaseMismatch(current *config.Config) error {
	var verdict confsync.Verdict
	err := p.client.get(p.ctx, "/config/patches/"+url.PathEscape(p.id), &verdict)
	if err == nil && verdict.Version == uint64(p.base)+1 {
		return p.printVerdict(verdict)
	}
	if err != nil && !errors.As(err, &notFoundError{}) {
		return outcomeUnknownError{id: p.id, cause: err}
	}
	if current.Version < uint64(p.base) {
		return fmt.Errorf("-base %d is higher than the version that the server has in force, %d; ask another server, or again later", p.base, current.Version)
	}
	return refusedError{confsync.Verdict{
		ID: p.id, Result: confsync.Refused, Version: current.Version,
		Reason: fmt.Sprintf("-base %d is not the version in force, %d", p.base, current.Version),
		Remedy: "look at the difference again and submit it with a new id",
	}}
}

func (p *program) confirm() bool {
	fmt.Fprint(p.env.Stderr, "submit? [y/N] ")
	line, _ := bufio.NewReader(p.env.Stdin).ReadString('\n')
	return strings.EqualFold(strings.TrimSpace(line), "y")
}

func (p *program) printVerdict(v confsync.Verdict) error {
	return p.print(v, func(w io.Writer) {
		fmt.Fprintf(w, "patch %s: %s, version %d\n", v.ID, v.Result, v.Version)
	})
}

func (p *program) get() error {
	d, err := p.fetchDocument()
	if err != nil {
		return err
	}
	return p.print(d, func(w io.Writer) {
		fmt.Fprintf(w, "version %d, hash %s\n", d.Version, d.Hash)
		keys := make([]string, 0, len(d.Objects))
		for key := range d.Objects {
			keys = append(keys, key)
		}
		sort.Strings(keys)
		for _, key := range keys {
			fmt.Fprintf(w, "%s %s\n", key, d.Objects[key])
		}
	})
}

func (p *program) history(after string) error {
	if _, err := strconv.ParseUint(after, 10, 64); err != nil {
		return usageError{config.Problem{Key: "history", Found: after, Allowed: "a version number"}}
	}
	var entries []confsync.HistoryEntry
	if err := p.client.get(p.ctx, "/config/history?after="+after, &entries); err != nil {
		return err
	}
	return p.print(entries, func(w io.Writer) {
		for _, e := range entries {
			at := time.UnixMilli(e.AcceptedMillis).UTC().Format(time.RFC3339)
			fmt.Fprintf(w, "%d %s %s %s %s\n", e.Version, at, e.Patch.Submitter, e.Patch.ID, strings.Join(e.Patch.Keys(), " "))
		}
	})
}

func (p *program) status() error {
	var s operator.Status
	if err := p.client.get(p.ctx, "/status", &s); err != nil {
		return err
	}
	return p.print(s, func(w io.Writer) {
		fmt.Fprintf(w, "%s: %s, seats %v, version %d", s.Instance, s.Connectivity, s.Seats, s.Version)
		if s.NotReady != "" {
			fmt.Fprintf(w, ", not ready: %s", s.NotReady)
		}
		fmt.Fprintln(w)
		for _, peer := range s.Peers {
			fmt.Fprintf(w, "  %s: %s, zone %s, seats %v, version %d\n", peer.Instance, peer.State, peer.Zone, peer.Seats, peer.Version)
		}
	})
}

func (p *program) showPatch(id string) error {
	var v confsync.Verdict
	if err := p.client.get(p.ctx, "/config/patches/"+url.PathEscape(id), &v); err != nil {
		return err
	}
	return p.printVerdict(v)
}

// setField submits a put of one object with one boolean field changed. It edits
// the JSON document, which keeps the other fields as they were declared.
func (p *program) setField(key, field string, value bool) error {
	current, err := p.fetchConfig()
	if err != nil {
		return err
	}
	document, ok := current.Document().Objects[key]
	if !ok {
		return usageError{config.Problem{Key: key, Found: "not declared", Allowed: "a declared object"}}
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(document, &fields); err != nil {
		return err
	}
	if string(fields[field]) == "true" == value {
		return p.submit(current, nil)
	}
	fields[field] = json.RawMessage(strconv.FormatBool(value))
	changed, err := json.Marshal(fields)
	if err != nil {
		return err
	}
	return p.submit(current, []config.Operation{{Action: config.Put, Key: key, Value: changed}})
}

func (p *program) setZoneOutOfService(name string, outOfService bool) error {
	return p.setField("zone/"+name, "out_of_service", outOfService)
}

func (p *program) setTargetLeaving(name string, leaving bool) error {
	return p.setField("target/"+name, "leaving", leaving)
}
