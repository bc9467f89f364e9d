// Package vmsettings reads the TOML settings of oriolegate and checks them whole
// before anything starts.
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
	Stop    Stop    `toml:"stop"`
	Retries Retries `toml:"retries"`
	Log     Log     `toml:"log"`
}

// VM says which VM this is.
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
	// Links is for messages between VMs over TCP, Datagrams for heartbeats.
	Links     string `toml:"links"`
	Datagrams string `toml:"datagrams"`
	Metrics   string `toml:"metrics"`
}

// Peers says where other VMs may be found.
type Peers struct {
	// Seeds are link addresses of some VMs; they may be out of date.
	Seeds []string `toml:"seeds"`
}

// Store says where the platform's store is.
type Store struct {
	// Address is an IP and a port. Required.
	Address string `toml:"address"`
}

// Memory bounds the memory of the process.
type Memory struct {
	// LimitMB is the size in MB at which the platform ends the process.
	// Required.
	LimitMB int `toml:"limit-mb"`
}

// Stop says how a shutdown goes.
type Stop struct {
	// Grace is the time from SIGTERM to SIGKILL. Default "8s".
	Grace config.Duration `toml:"grace"`
}

// Retries bound the repeats of all VMs together. In any Window a service may
// get Ratio times its requests, plus Slack.
type Retries struct {
	Ratio  float64         `toml:"ratio"`  // default 0.2
	Slack  float64         `toml:"slack"`  // requests, default 100
	Window config.Duration `toml:"window"` // default "10s"
}

// Log says what is logged.
type Log struct {
	// Level is debug, info, warn or error. Default "info".
	Level string `toml:"level"`
}

// Defaults returns settings with every default and no required value.
func Defaults() *Settings {
	return &Settings{
		Stop:    Stop{Grace: config.Duration(8 * time.Second)},
		Retries: Retries{Ratio: 0.2, Slack: 100, Window: config.Duration(10 * time.Second)},
		Log:     Log{Level: "info"},
	}
}

// Load reads, completes and checks a settings file. All problems are joined.
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
	c.require(s.Stop.Grace > 0, "stop.grace", s.Stop.Grace.Std().String(), "a duration above 0")
	c.require(s.Retries.Ratio >= 0, "retries.ratio", fmt.Sprint(s.Retries.Ratio), "a number of 0 or more")
	c.require(s.Retries.Slack >= 0, "retries.slack", fmt.Sprint(s.Retries.Slack), "a number of 0 or more")
	c.require(s.Retries.Window > 0, "retries.window", s.Retries.Window.Std().String(), "a duration above 0")
	switch s.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		c.fail("log.level", s.Log.Level, "debug, info, warn, error")
	}
}
