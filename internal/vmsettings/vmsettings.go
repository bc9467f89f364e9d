// Package vmsettings reads the TOML settings of oriolegate and validates them as a
// whole before anything starts.
package vmsettings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/BurntSushi/toml"

	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/settings"
)

// Settings are the settings of one VM.
type Settings struct {
	VM      VM      `toml:"vm"`
	Listen  Listen  `toml:"listen"`
	Peers   Peers   `toml:"peers"`
	Store   Store   `toml:"store"`
	Memory  Memory  `toml:"memory"`
	Clients Clients `toml:"clients"`
	Stop    Stop    `toml:"stop"`
	Retries Retries `toml:"retries"`
	// Revocation bounds how long a revoked API key stays valid.
	Revocation Revocation `toml:"revocation"`
	Placement  Placement  `toml:"placement"`
	Log        Log        `toml:"log"`
	// Duties is nil where the platform names none.
	Duties *Duties `toml:"duties"`
	// Zones applies where zones are distant.
	Zones Zones `toml:"zones"`
	// Overload configures the order of the calls that wait for engines.
	Overload Overload `toml:"overload"`
}

// VM identifies this VM.
type VM struct {
	// Name is unique in the fleet. Required.
	Name string `toml:"name"`
	// Zone is the data centre of the VM. Required.
	Zone string `toml:"zone"`
}

// Listen holds the addresses to listen on, each an IP and a port. All required.
type Listen struct {
	Callers   string `toml:"callers"`
	Readiness string `toml:"readiness"`
	// Links is for messages between VMs over TCP, Datagrams for heartbeats
	// between VMs over UDP.
	Links     string `toml:"links"`
	Datagrams string `toml:"datagrams"`
	Metrics   string `toml:"metrics"`
}

// Peers configures the discovery of other VMs.
type Peers struct {
	// Seeds are the link addresses of some VMs. They may be out of date.
	Seeds []string `toml:"seeds"`
}

// Store locates the platform's store.
type Store struct {
	// Address is an IP and a port. Required.
	Address string `toml:"address"`
}

// Memory bounds the memory of the process.
type Memory struct {
	// LimitMB is the memory size in MB at which the platform kills the process.
	// Required.
	LimitMB int `toml:"limit-mb"`
}

// Clients bounds what callers and other clients occupy. A change needs a restart. See
// docs/design/client-limits.md.
type Clients struct {
	// Connections is the largest number of connections of callers. Default 7/16 of the
	// descriptor limit of the process.
	Connections int `toml:"connections"`
	// MemoryMB is the memory for connections and request heads, in MB. Default a quarter of
	// memory.limit-mb.
	MemoryMB int `toml:"memory-mb"`
	// BodyMemoryMB is the memory for request bodies, in MB. Default a quarter of
	// memory.limit-mb, at most 96.
	BodyMemoryMB int `toml:"body-memory-mb"`
}

const (
	// clientShare of the memory is the default for connections and heads, and for bodies.
	clientShare = 4
	// maxClientShare is the largest part of the memory for all of them, in percent. The rest is
	// for responses, links, the collector's garbage and the program.
	maxClientShare = 60
	// minClientMB holds two bodies of the largest size of a configuration, or the heads of some
	// requests.
	minClientMB    = 8
	maxBodyMB      = 96
	minConnections = 16
)

// setClientDefaults sets what the file leaves open and depends on the memory limit.
func (s *Settings) setClientDefaults() {
	share := max(s.Memory.LimitMB/clientShare, minClientMB)
	if s.Clients.MemoryMB == 0 {
		s.Clients.MemoryMB = share
	}
	if s.Clients.BodyMemoryMB == 0 {
		s.Clients.BodyMemoryMB = min(share, maxBodyMB)
	}
}

func (c *checker) checkClients(s *Settings) {
	n := s.Clients
	c.require(n.Connections == 0 || n.Connections >= minConnections, "clients.connections", fmt.Sprint(n.Connections), fmt.Sprintf("a number of %d or more", minConnections))
	c.require(n.MemoryMB >= minClientMB, "clients.memory-mb", fmt.Sprint(n.MemoryMB), fmt.Sprintf("a number of MB of %d or more", minClientMB))
	c.require(n.BodyMemoryMB >= minClientMB, "clients.body-memory-mb", fmt.Sprint(n.BodyMemoryMB), fmt.Sprintf("a number of MB of %d or more", minClientMB))
	most := max(s.Memory.LimitMB*maxClientShare/100, 2*minClientMB)
	c.require(n.MemoryMB+n.BodyMemoryMB <= most, "clients.memory-mb", fmt.Sprintf("%d and %d for bodies", n.MemoryMB, n.BodyMemoryMB), fmt.Sprintf("at most %d together, %d %% of memory.limit-mb", most, maxClientShare))
}

// Stop configures the shutdown.
type Stop struct {
	// Grace is the time from SIGTERM to SIGKILL. Default "8s".
	Grace config.Duration `toml:"grace"`
}

// Retries configures the retry budget that all VMs share. In any Window, the
// retries of a service are limited to Ratio times its requests, plus Slack.
type Retries struct {
	Ratio  float64         `toml:"ratio"`  // default 0.2
	Slack  float64         `toml:"slack"`  // requests, default 100
	Window config.Duration `toml:"window"` // default "10s"
}

// Revocation configures how strictly revoked API keys are refused.
type Revocation struct {
	// Strict makes a VM refuse requests with a key when it cannot confirm, through the
	// store or another VM, that the key was not revoked. Default false. A change needs
	// a restart.
	Strict bool `toml:"strict"`
	// Bound is the time after which a revoked key must not be accepted anywhere. It
	// applies if Strict is set. Default "5s".
	Bound config.Duration `toml:"bound"`
}

// Placement configures the choice of targets.
type Placement struct {
	// LearnPace makes a VM learn which targets are slow, tell the other VMs, and send
	// less to them. Default false. A change needs a restart.
	LearnPace bool `toml:"learn-pace"`
}

// Zones configures what goes between zones. It applies only where the configuration names delays
// between zones that are noticeable.
type Zones struct {
	// TrafficCost is the cost of a megabyte between zones, in small requests that are late. The
	// default is 1. With 0, targets are chosen as where zones are not distant.
	TrafficCost float64 `toml:"traffic-cost"`
	// Relays makes VMs of other zones pass heartbeats on. Default true.
	Relays bool `toml:"relays"`
}

// DefaultTrafficCost is the default of Zones.TrafficCost.
const DefaultTrafficCost = 1

// maxTrafficCost bounds Zones.TrafficCost; nothing would leave its zone at that price.
const maxTrafficCost = 1e6

// Overload configures whether the calls that wait for engines are served in one order over all VMs.
type Overload struct {
	// Mode is "auto", "on" or "off". With "auto", the default, the order applies where routes of
	// one engine service have different priorities or zones are distant.
	Mode string `toml:"mode"`
}

// The modes of Overload.
const (
	OverloadAuto = "auto"
	OverloadOn   = "on"
	OverloadOff  = "off"
)

// Log configures logging.
type Log struct {
	// Level is debug, info, warn or error. Default "info".
	Level string `toml:"level"`
}

// MinRevocationBound is the shortest bound of a revocation: the configuration is read
// from the store several times within it.
const MinRevocationBound = time.Second

// Defaults returns settings with all defaults and without required values.
func Defaults() *Settings {
	return &Settings{
		Stop:       Stop{Grace: config.Duration(8 * time.Second)},
		Retries:    Retries{Ratio: 0.2, Slack: 100, Window: config.Duration(10 * time.Second)},
		Revocation: Revocation{Bound: config.Duration(5 * time.Second)},
		Log:        Log{Level: "info"},
		Zones:      Zones{TrafficCost: DefaultTrafficCost, Relays: true},
		Overload:   Overload{Mode: OverloadAuto},
	}
}

// Load reads a settings file, applies the defaults and validates the result. It
// returns all problems joined.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, settings.Problem{File: file, Key: "(file)", Found: err.Error(), Allowed: "a readable TOML file"}
	}
	s := Defaults()
	meta, err := toml.Decode(string(text), s)
	if err != nil {
		return nil, settings.Problem{File: file, Key: "(syntax)", Found: err.Error(), Allowed: "valid TOML of the documented type"}
	}
	s.setClientDefaults()
	c := &checker{file: file}
	for _, key := range meta.Undecoded() {
		c.fail(key.String(), "unknown key", "a key listed in docs/platform.md")
	}
	c.check(s)
	if len(c.problems) > 0 {
		return nil, errors.Join(c.problems...)
	}
	return s, nil
}

// checker collects the problems of one file.
type checker struct {
	file     string
	problems []error
}

func (c *checker) fail(key, found, allowed string) {
	c.problems = append(c.problems, settings.Problem{File: c.file, Key: key, Found: found, Allowed: allowed})
}

func (c *checker) require(ok bool, key, found, allowed string) {
	if !ok {
		c.fail(key, found, allowed)
	}
}

func (c *checker) check(s *Settings) {
	c.require(s.VM.Name != "", "vm.name", s.VM.Name, "the name of the VM")
	c.require(s.VM.Zone != "", "vm.zone", s.VM.Zone, "the name of a zone")
	for _, a := range []struct{ key, value string }{
		{"listen.callers", s.Listen.Callers},
		{"listen.readiness", s.Listen.Readiness},
		{"listen.links", s.Listen.Links},
		{"listen.datagrams", s.Listen.Datagrams},
		{"listen.metrics", s.Listen.Metrics},
		{"store.address", s.Store.Address},
	} {
		_, err := netip.ParseAddrPort(a.value)
		c.require(err == nil, a.key, a.value, "an IP address and a port")
	}
	for _, seed := range s.Peers.Seeds {
		_, err := netip.ParseAddrPort(seed)
		c.require(err == nil, "peers.seeds", seed, "IP addresses and ports")
	}
	c.require(s.Memory.LimitMB > 0, "memory.limit-mb", fmt.Sprint(s.Memory.LimitMB), "a number of MB above 0")
	c.checkClients(s)
	c.require(s.Stop.Grace > 0, "stop.grace", s.Stop.Grace.Std().String(), "a duration above 0")
	c.require(s.Retries.Ratio >= 0, "retries.ratio", fmt.Sprint(s.Retries.Ratio), "a number of 0 or more")
	c.require(s.Retries.Slack >= 0, "retries.slack", fmt.Sprint(s.Retries.Slack), "a number of 0 or more")
	c.require(s.Retries.Window > 0, "retries.window", s.Retries.Window.Std().String(), "a duration above 0")
	c.require(s.Revocation.Bound.Std() >= MinRevocationBound, "revocation.bound", s.Revocation.Bound.Std().String(), "a duration of "+MinRevocationBound.String()+" or more")
	c.checkDuties(s.Duties)
	c.require(s.Zones.TrafficCost >= 0 && s.Zones.TrafficCost <= maxTrafficCost, "zones.traffic-cost", fmt.Sprint(s.Zones.TrafficCost), fmt.Sprintf("a number of 0 to %g", float64(maxTrafficCost)))
	switch s.Overload.Mode {
	case OverloadAuto, OverloadOn, OverloadOff:
	default:
		c.fail("overload.mode", s.Overload.Mode, "auto, on, off")
	}
	switch s.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		c.fail("log.level", s.Log.Level, "debug, info, warn, error")
	}
}
