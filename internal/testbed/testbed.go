// Package testbed runs stand-ins and entry processes inside one process, for
// experiments, the demo and tests. They communicate over loopback TCP as they
// would between VMs.
package testbed

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/oriolefront/oriolefront/internal/auth"
	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/engine"
	"github.com/oriolefront/oriolefront/internal/resume"
	"github.com/oriolefront/oriolefront/internal/standin"
	"github.com/oriolefront/oriolefront/internal/tcp"
)

// Keys, model and plain service of every fleet.
const (
	AccountKey       = "lab-account-key"
	OperatorKey      = "lab-operator-key"
	Model            = "catalogue"
	PlainServiceName = "lending"
)

// Options describe a fleet. Zero values get no defaults; start from Bibliobuz or
// Pilbara.
type Options struct {
	Zones       []string
	Region      string
	OneWayDelay time.Duration // declared network delay between zones
	Entries     int
	// ModifySettings, if not nil, may change the settings of each entry process.
	ModifySettings func(i int, s *EntrySettings)
	Engines        int
	Engine         standin.EngineOptions
	// PlainTargets is the number of targets of the plain service.
	PlainTargets int
	// ModifyConfig, if not nil, may change the initial configuration.
	ModifyConfig func(c *config.Config)
	VMListLag    time.Duration
	Log          *slog.Logger
}

// Bibliobuz returns a fleet of the size of the mobile library: three zones, 15
// engines, 3 lending targets and 6 entry VMs.
func Bibliobuz() Options {
	return Options{
		Zones:        []string{"iasi", "suceava", "bacau"},
		Region:       "ro-moldova",
		OneWayDelay:  1500 * time.Microsecond,
		Entries:      6,
		Engines:      15,
		PlainTargets: 3,
		Engine:       DefaultEngine(),
		Log:          slog.New(slog.DiscardHandler),
	}
}

// Pilbara returns a fleet of the size of the sledge racing association: three
// zones, 20 engines, 3 entries targets and 9 entry VMs.
func Pilbara() Options {
	o := Bibliobuz()
	o.Zones = []string{"a", "b", "c"}
	o.Region = "wa-west"
	o.OneWayDelay = 500 * time.Microsecond
	o.Entries = 9
	o.Engines = 20
	return o
}

// DefaultEngine returns the options of an engine whose prefill is slow enough
// that one machine can load a fleet of them.
func DefaultEngine() standin.EngineOptions {
	return standin.EngineOptions{
		KVTokens:               400_000,
		PrefillTokensPerSecond: 50_000,
		DecodeTokensPerSecond:  50,
		MaxRunning:             32,
		MaxRunningCold:         2,
		MaxTokensCold:          60_000,
		ColdDuration:           3 * time.Second,
		LoadLag:                200 * time.Millisecond,
		CacheEventLag:          200 * time.Millisecond,
		DropCacheEventEvery:    50,
		Models:                 []engine.Model{{Name: Model}},
	}
}

// Engine is a running engine stand-in.
type Engine struct {
	*standin.Engine
	Name    string
	Zone    string
	Address string
}

// PlainTarget is a running stand-in of a target of the plain service.
type PlainTarget struct {
	*standin.Plain
	Name    string
	Address string
}

// Fleet is a running set of stand-ins and entry processes.
type Fleet struct {
	Options      Options
	Engines      []*Engine
	PlainTargets []*PlainTarget
	Table        *standin.Table
	Objects      *standin.Objects
	VMs          *standin.VMList
	Entries      []*Entry

	tableAddress, objectsAddress, vmsAddress string

	resumeKey string
	ctx       context.Context
	stop      context.CancelFunc
	listeners []net.Listener
}

// Start starts the stand-ins and the entry processes, submits the initial
// configuration, and returns when all entry processes are ready.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	f := &Fleet{Options: o, resumeKey: hex.EncodeToString(randomBytes(resume.KeyBytes))}
	f.ctx, f.stop = context.WithCancel(ctx)
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	if err := f.startStandIns(); err != nil {
		return err
	}
	for i := range f.Options.Entries {
		if _, err := f.AddEntry(i); err != nil {
			return err
		}
	}
	if err := f.submitInitialConfig(); err != nil {
		return err
	}
	for _, e := range f.Entries {
		if err := e.AwaitReady(f.ctx, readyTimeout); err != nil {
			return err
		}
	}
	return nil
}

const readyTimeout = 30 * time.Second

func (f *Fleet) startStandIns() error {
	var err error
	f.Table, f.Objects, f.VMs = standin.NewTable(), standin.NewObjects(), standin.NewVMList(f.Options.VMListLag)
	if f.tableAddress, err = f.serve(f.Table.Handler()); err != nil {
		return err
	}
	if f.objectsAddress, err = f.serve(f.Objects.Handler()); err != nil {
		return err
	}
	if f.vmsAddress, err = f.serve(f.VMs.Handler()); err != nil {
		return err
	}
	for i := range f.Options.Engines {
		o := f.Options.Engine
		o.Name = fmt.Sprintf("e%02d", i)
		e := &Engine{Engine: standin.NewEngine(o), Name: o.Name, Zone: f.Options.Zones[i%len(f.Options.Zones)]}
		if e.Address, err = f.serve(e.Handler()); err != nil {
			return err
		}
		go e.Run(f.ctx)
		f.Engines = append(f.Engines, e)
	}
	for i := range f.Options.PlainTargets {
		p := &PlainTarget{Plain: standin.NewPlain(fmt.Sprintf("p%d", i)), Name: fmt.Sprintf("p%d", i)}
		if p.Address, err = f.serve(p.Handler()); err != nil {
			return err
		}
		f.PlainTargets = append(f.PlainTargets, p)
	}
	return nil
}

// serve serves h on a free loopback port until the fleet is closed, and returns
// the address.
func (f *Fleet) serve(h http.Handler) (string, error) {
	listener, err := tcp.Listen(f.ctx, "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	f.listeners = append(f.listeners, listener)
	server := &http.Server{Handler: h, ErrorLog: slog.NewLogLogger(f.Options.Log.Handler(), slog.LevelDebug)}
	go server.Serve(listener)
	return listener.Addr().String(), nil
}

// Close stops all entry processes and stand-ins immediately.
func (f *Fleet) Close() {
	for _, e := range f.Entries {
		e.Abort()
	}
	f.stop()
	for _, listener := range f.listeners {
		listener.Close()
	}
}

// Config returns the initial configuration of the fleet.
func (f *Fleet) Config() *config.Config {
	o := f.Options
	c := &config.Config{
		Seats:     max(1, o.Entries),
		Zones:     map[string]config.Zone{},
		Links:     map[string]config.Link{},
		Contracts: map[string]config.Contract{"standard": {Deadline: config.Duration(60 * time.Second), MaxDeadline: config.Duration(10 * time.Minute)}},
		Accounts:  map[string]config.Account{"lab": {Contract: "standard", KeyHashes: []string{auth.KeyHash(AccountKey)}}},
		Services:  map[string]config.Service{"lm": {Kind: config.ModelService}},
		Targets:   map[string]config.Target{},
		Routes:    map[string]config.Route{"lm": {Model: Model, Service: "lm"}},
		WaitRules: map[string]config.WaitRule{
			"1-archives": {MinPromptTokens: 32_000, Class: config.ClassBatch},
			"2-medium":   {MinPromptTokens: 4_000, Class: config.ClassStandard},
			"3-short":    {Class: config.ClassInteractive},
		},
	}
	f.declareZones(c)
	for _, e := range f.Engines {
		c.Targets[e.Name] = DeclareEngine(o.Engine, e.Zone, e.Address)
	}
	if len(f.PlainTargets) > 0 {
		c.Services[PlainServiceName] = config.Service{Kind: config.PlainService}
		c.Routes[PlainServiceName] = config.Route{Model: PlainServiceName, Service: PlainServiceName}
	}
	for i, p := range f.PlainTargets {
		c.Targets[p.Name] = config.Target{Service: PlainServiceName, Zone: o.Zones[i%len(o.Zones)], Address: p.Address, MaxRunning: 64}
	}
	c.ApplyDefaults()
	if o.ModifyConfig != nil {
		o.ModifyConfig(c)
	}
	return c
}

func (f *Fleet) declareZones(c *config.Config) {
	for i, from := range f.Options.Zones {
		c.Zones[from] = config.Zone{Region: f.Options.Region}
		for _, to := range f.Options.Zones[i+1:] {
			c.Links[from+"-"+to] = config.Link{From: from, To: to, OneWay: config.Duration(f.Options.OneWayDelay)}
		}
	}
}

// DeclareEngine returns the target declaration of an engine stand-in.
func DeclareEngine(o standin.EngineOptions, zone, address string) config.Target {
	return config.Target{
		Service:                "lm",
		Zone:                   zone,
		Address:                address,
		Models:                 []string{Model},
		KVTokens:               o.KVTokens,
		PrefillTokensPerSecond: o.PrefillTokensPerSecond,
		DecodeTokensPerSecond:  o.DecodeTokensPerSecond,
		MaxRunning:             o.MaxRunning,
		ColdRunning:            o.MaxRunningCold,
		ColdTokens:             o.MaxTokensCold,
		ChecksFencing:          o.ChecksFencing,
	}
}

// EngineAddresses returns the addresses of the engines.
func (f *Fleet) EngineAddresses() []string {
	addresses := make([]string, len(f.Engines))
	for i, e := range f.Engines {
		addresses[i] = e.Address
	}
	return addresses
}

// CallerAddresses returns the caller addresses of the running entry processes.
func (f *Fleet) CallerAddresses() []string {
	var addresses []string
	for _, e := range f.Entries {
		if !e.stopped.Load() {
			addresses = append(addresses, e.Settings.Listen.Callers)
		}
	}
	return addresses
}

var errNoEntry = errors.New("no entry process is running")

func randomBytes(n int) []byte {
	b := make([]byte, n)
	rand.Read(b)
	return b
}
