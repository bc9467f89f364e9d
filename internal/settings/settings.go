// Package settings reads the TOML settings of an entry process and validates them
// as a whole before anything starts.
package settings

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/resume"
	"github.com/oriolefront/oriolefront/internal/scheduler"
)

// Settings are the settings of one entry process.
type Settings struct {
	VM        VM        `toml:"vm"`
	Listen    Listen    `toml:"listen"`
	Platform  Platform  `toml:"platform"`
	Keys      Keys      `toml:"keys"`
	Peers     Peers     `toml:"peers"`
	Limits    Limits    `toml:"limits"`
	Scheduler Scheduler `toml:"scheduler"`
	Log       Log       `toml:"log"`
}

// VM identifies the VM of this process.
type VM struct {
	// Address is the IP address of this VM. Required.
	Address string `toml:"address"`
	// Zone is the data centre of this VM. Required.
	Zone string `toml:"zone"`
	// MaxSeats is the maximum number of seats to hold. Default 1.
	MaxSeats int `toml:"max-seats"`
}

// Listen holds the addresses to listen on, each an IP and a port.
type Listen struct {
	// Callers is for callers, health checks and metrics. Required.
	Callers string `toml:"callers"`
	// Operators is for operators. Required.
	Operators string `toml:"operators"`
	// Peers is for links from other VMs. Required.
	Peers string `toml:"peers"`
	// AdvertisePeers is the address at which other VMs reach Peers, if that
	// differs from Peers. Default: the value of peers.
	AdvertisePeers string `toml:"advertise-peers"`
}

// PeerAddress returns the address at which other VMs reach this one.
func (l Listen) PeerAddress() string {
	if l.AdvertisePeers != "" {
		return l.AdvertisePeers
	}
	return l.Peers
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	// Table is the transactional table service. Required.
	Table string `toml:"table"`
	// Objects is the object store. Required.
	Objects string `toml:"objects"`
	// VMs is the list of live and leaving VMs. Required.
	VMs string `toml:"vms"`
}

// Keys holds secrets and hashes of secrets.
type Keys struct {
	// Resume is the key that seals resume tokens: 64 hex digits, the same on all
	// VMs. Required.
	Resume string `toml:"resume"`
	// Operators maps operator names to the SHA-256 hashes of their keys, in hex.
	Operators map[string]string `toml:"operators"`
}

// Peers configures the authentication between VMs.
type Peers struct {
	// Plaintext disables TLS. It is allowed on loopback only. Default false.
	Plaintext bool `toml:"plaintext"`
	// Certificate, PrivateKey and Authority are PEM files for mutual TLS.
	// Required unless Plaintext is set.
	Certificate string `toml:"certificate"`
	PrivateKey  string `toml:"private-key"`
	Authority   string `toml:"authority"`
}

// Limits bounds the resources that callers can use, and the shutdown. See
// gateway.Limits.
type Limits struct {
	// BodyBytes bounds one request body. Default 16777216.
	BodyBytes int64 `toml:"body-bytes"`
	// HeldBytes bounds the total size of buffered request bodies. Default a quarter of
	// MemoryMB, at least BodyBytes and at most 536870912.
	HeldBytes int64 `toml:"held-bytes"`
	// MemoryMB is the memory that the process may occupy, in MB. Default GOMEMLIMIT if it is
	// set, otherwise the memory of the machine.
	MemoryMB int `toml:"memory-mb"`
	// ClientBytes bounds the memory of connections and request heads. Default a quarter of
	// MemoryMB.
	ClientBytes int64 `toml:"client-bytes"`
	// Connections bounds the connections of callers. Default 7/16 of the descriptor limit.
	Connections int `toml:"connections"`
	// HeaderBytes bounds the header of a request. Default 32768.
	HeaderBytes int `toml:"header-bytes"`
	// HeaderTimeout bounds the time to read a header. Default "5s".
	HeaderTimeout config.Duration `toml:"header-timeout"`
	// DrainTimeout bounds a graceful shutdown. Default "15m", longer than the
	// default maximum deadline of a request.
	DrainTimeout config.Duration `toml:"drain-timeout"`
	// DrainDelay is the time from reporting not ready until connections are no
	// longer accepted, so that the load balancer can react. Default "2s".
	DrainDelay config.Duration `toml:"drain-delay"`
}

// Scheduler configures the choice of targets.
type Scheduler struct {
	// Policy is "estimate", or one of the baselines for experiments:
	// "least-in-flight" and "round-robin". Default "estimate".
	Policy string `toml:"policy"`
}

// Log configures logging.
type Log struct {
	// Level is debug, info, warn or error. Default "info".
	Level string `toml:"level"`
}

// Problem is a validation error of a settings file.
type Problem struct {
	File    string
	Key     string
	Found   string
	Allowed string
}

// Error implements error.
func (p Problem) Error() string {
	return fmt.Sprintf("%s: %s: found %q, allowed: %s", p.File, p.Key, p.Found, p.Allowed)
}

// maxHeldBytes is the largest default of Limits.HeldBytes.
const maxHeldBytes = 512 << 20

// Load reads a settings file, applies the defaults and validates the result. It
// returns all problems joined.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, Problem{File: file, Key: "(file)", Found: err.Error(), Allowed: "a readable TOML file"}
	}
	s, err := Parse(file, string(text))
	if err != nil {
		return nil, err
	}
	return s, nil
}

// Parse is like Load, for text that was read from file.
func Parse(file, text string) (*Settings, error) {
	s := Defaults()
	meta, err := toml.Decode(text, s)
	if err != nil {
		return nil, Problem{File: file, Key: decodeKey(err), Found: decodeMessage(err), Allowed: "valid TOML of the documented type"}
	}
	s.Limits.SetMemoryDefaults()
	c := &checker{file: file}
	for _, key := range meta.Undecoded() {
		c.fail(key.String(), "unknown key", "a key listed in docs/settings.md")
	}
	c.check(s)
	if len(c.problems) > 0 {
		return nil, errors.Join(c.problems...)
	}
	return s, nil
}

// Defaults returns settings with all defaults and without required values.
func Defaults() *Settings {
	return &Settings{
		VM: VM{MaxSeats: 1},
		Limits: Limits{
			BodyBytes:     16 << 20,
			HeaderBytes:   32 << 10,
			HeaderTimeout: config.Duration(5 * time.Second),
			DrainTimeout:  config.Duration(15 * time.Minute),
			DrainDelay:    config.Duration(2 * time.Second),
		},
		Scheduler: Scheduler{Policy: scheduler.DefaultPolicy().Name},
		Log:       Log{Level: "info"},
	}
}

func decodeKey(err error) string {
	var parse toml.ParseError
	if errors.As(err, &parse) && parse.LastKey != "" {
		return parse.LastKey
	}
	return "(syntax)"
}

func decodeMessage(err error) string {
	var parse toml.ParseError
	if errors.As(err, &parse) {
		return fmt.Sprintf("line %d: %s", parse.Position.Line, parse.Message)
	}
	return err.Error()
}

// checker collects the problems of one file.
type checker struct {
	file     string
	problems []error
}

func (c *checker) fail(key, found, allowed string) {
	c.problems = append(c.problems, Problem{File: c.file, Key: key, Found: found, Allowed: allowed})
}

func (c *checker) require(ok bool, key, found, allowed string) {
	if !ok {
		c.fail(key, found, allowed)
	}
}

func (c *checker) check(s *Settings) {
	_, err := netip.ParseAddr(s.VM.Address)
	c.require(err == nil, "vm.address", s.VM.Address, "an IP address")
	c.require(s.VM.Zone != "", "vm.zone", s.VM.Zone, "the name of a zone")
	c.require(s.VM.MaxSeats > 0, "vm.max-seats", fmt.Sprint(s.VM.MaxSeats), "a number above 0")
	c.checkListen(s.Listen)
	c.checkURL("platform.table", s.Platform.Table)
	c.checkURL("platform.objects", s.Platform.Objects)
	c.checkURL("platform.vms", s.Platform.VMs)
	c.checkKeys(s.Keys)
	c.checkPeers(s)
	c.checkLimits(s.Limits)
	_, err = scheduler.PolicyByName(s.Scheduler.Policy)
	c.require(err == nil && s.Scheduler.Policy != "", "scheduler.policy", s.Scheduler.Policy, strings.Join(scheduler.PolicyNames(), ", "))
	levels := []string{"debug", "info", "warn", "error"}
	c.require(strings.Contains(" "+strings.Join(levels, " ")+" ", " "+s.Log.Level+" "), "log.level", s.Log.Level, strings.Join(levels, ", "))
}

func (c *checker) checkListen(l Listen) {
	seen := map[string]string{}
	for _, a := range []struct{ key, value string }{
		{"listen.callers", l.Callers},
		{"listen.operators", l.Operators},
		{"listen.peers", l.Peers},
	} {
		_, err := netip.ParseAddrPort(a.value)
		c.require(err == nil, a.key, a.value, "an IP address and a port")
		if other := seen[a.value]; other != "" && err == nil {
			c.fail(a.key, a.value, "an address that differs from "+other)
		}
		seen[a.value] = a.key
	}
	_, err := netip.ParseAddrPort(l.PeerAddress())
	c.require(err == nil, "listen.advertise-peers", l.AdvertisePeers, "an IP address and a port, or nothing")
}

func (c *checker) checkURL(key, value string) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		c.fail(key, value, "a URL such as http://10.0.0.1:9000")
		return
	}
	_, err = netip.ParseAddrPort(u.Host)
	c.require(err == nil, key, value, "a URL whose host is an IP address and a port")
}

func (c *checker) checkKeys(k Keys) {
	raw, err := hex.DecodeString(k.Resume)
	if err != nil || len(raw) != resume.KeyBytes {
		c.fail("keys.resume", fmt.Sprintf("%d characters", len(k.Resume)), "64 hex digits")
	}
	for name, hash := range k.Operators {
		raw, err := hex.DecodeString(hash)
		c.require(err == nil && len(raw) == 32, "keys.operators."+name, hash, "64 hex digits (SHA-256 of the key)")
	}
}

func (c *checker) checkPeers(s *Settings) {
	if s.Peers.Plaintext {
		address, err := netip.ParseAddrPort(s.Listen.Peers)
		c.require(err != nil || address.Addr().IsLoopback(), "peers.plaintext", "true", "false unless listen.peers is a loopback address")
		return
	}
	for _, f := range []struct{ key, value string }{
		{"peers.certificate", s.Peers.Certificate},
		{"peers.private-key", s.Peers.PrivateKey},
		{"peers.authority", s.Peers.Authority},
	} {
		_, err := os.Stat(f.value)
		c.require(err == nil, f.key, f.value, "a readable PEM file")
	}
}

func (c *checker) checkLimits(l Limits) {
	c.require(l.BodyBytes > 0, "limits.body-bytes", fmt.Sprint(l.BodyBytes), "a number of bytes above 0")
	c.require(l.HeldBytes >= l.BodyBytes, "limits.held-bytes", fmt.Sprint(l.HeldBytes), "at least limits.body-bytes")
	c.require(l.MemoryMB > 0, "limits.memory-mb", fmt.Sprint(l.MemoryMB), "a number of MB above 0")
	c.require(l.ClientBytes >= minClientBytes, "limits.client-bytes", fmt.Sprint(l.ClientBytes), fmt.Sprintf("at least %d bytes", minClientBytes))
	c.require(l.Connections == 0 || l.Connections >= minConnections, "limits.connections", fmt.Sprint(l.Connections), fmt.Sprintf("a number of %d or more", minConnections))
	c.require(l.HeaderBytes >= 4096, "limits.header-bytes", fmt.Sprint(l.HeaderBytes), "at least 4096 bytes")
	c.require(l.HeaderTimeout > 0, "limits.header-timeout", l.HeaderTimeout.Std().String(), "a duration above 0")
	c.require(l.DrainTimeout > 0, "limits.drain-timeout", l.DrainTimeout.Std().String(), "a duration above 0")
	c.require(l.DrainDelay >= 0, "limits.drain-delay", l.DrainDelay.Std().String(), "a duration of 0 or more")
}
