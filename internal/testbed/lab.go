// Package testbed runs stand-ins and entry processes inside one process, for
// experiments, the demo and tests. They talk over loopback TCP as they would
// between VMs.
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

// Keys that every lab uses.
const (
	AccountKey       = "lab-account-key"
	OperatorKey      = "lab-operator-key"
	Model            = "catalogue"
	PlainServiceName = "lending"
)

// Options describe a lab. Zero values take the defaults of Defaults.
type Options struct {
	Zones       []string
	Region      string
	OneWayDelay time.Duration // delay that is declared between zones
	Entries     int
	// SettingsChange, if not nil, may alter the settings of each entry process.
	ModifySettings func(i int, s *EntrySettings)
	Engines        int
	Engine         standin.EngineOptions
	// PlainTargets is the number of targets of the plain service.
	PlainTargets int
	// ConfigChange, if not nil, may alter the first configuration.
	ModifyConfig func(c *config.Config)
	VMListLag    time.Duration
	Log          *slog.Logger
}

// Bibliobuz returns the sizes of the mobile library: three zones, 15 engines,
// 3 lending targets and 6 entry VMs.
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

// Pilbara returns the sizes of the sledge racing association: three zones, 20
// engines, 3 entries targets and 9 entry VMs.
func Pilbara() Options {
	o := Bibliobuz()
	o.Zones = []string{"a", "b", "c"}
	o.Region = "wa-west"
	o.OneWayDelay = 500 * time.Microsecond
	o.Entries = 9
	o.Engines = 20
	return o
}

// DefaultEngine is an engine whose prefill is slow enough for one machine to
// load a fleet of them.
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

// Plain is a running stand-in of a plain service.
type Plain struct {
	*standin.Plain
	Name    string
	Address string
}

// Fleet is a running set of stand-ins and entry processes.
type Fleet struct {
	Options      Options
	Engines      []*Engine
	PlainTargets []*Plain
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

// Start starts the stand-ins, the entry processes and the first configuration,
// and returns when all entry processes are ready.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	l := &Fleet{Options: o, resumeKey: hex.EncodeToString(randomBytes(resume.KeyBytes))}
	l.ctx, l.stop = context.WithCancel(ctx)
	if err := l.start(); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

func (l *Fleet) start() error {
	if err := l.startStandIns(); err != nil {
		return err
	}
	for i := range l.Options.Entries {
		if _, err := l.AddEntry(i); err != nil {
			return err
		}
	}
	if err := l.submitFirst(); err != nil {
		return err
	}
	for _, e := range l.Entries {
		if err := e.AwaitReady(l.ctx, readyTimeout); err != nil {
			return err
		}
	}
	return nil
}

const readyTimeout = 30 * time.Second

func (l *Fleet) startStandIns() error {
	var err error
	l.Table, l.Objects, l.VMs = standin.NewTable(), standin.NewObjects(), standin.NewVMList(l.Options.VMListLag)
	if l.tableAddress, err = l.serve(l.Table.Handler()); err != nil {
		return err
	}
	if l.objectsAddress, err = l.serve(l.Objects.Handler()); err != nil {
		return err
	}
	if l.vmsAddress, err = l.serve(l.VMs.Handler()); err != nil {
		return err
	}
	for i := range l.Options.Engines {
		o := l.Options.Engine
		o.Name = fmt.Sprintf("e%02d", i)
		e := &Engine{Engine: standin.NewEngine(o), Name: o.Name, Zone: l.Options.Zones[i%len(l.Options.Zones)]}
		if e.Address, err = l.serve(e.Handler()); err != nil {
			return err
		}
		go e.Run(l.ctx)
		l.Engines = append(l.Engines, e)
	}
	for i := range l.Options.PlainTargets {
		p := &Plain{Plain: standin.NewPlain(fmt.Sprintf("p%d", i)), Name: fmt.Sprintf("p%d", i)}
		if p.Address, err = l.serve(p.Handler()); err != nil {
			return err
		}
		l.PlainTargets = append(l.PlainTargets, p)
	}
	return nil
}

// serve serves h on a free loopback port until the lab is closed.
func (l *Fleet) serve(h http.Handler) (string, error) {
	listener, err := tcp.Listen(l.ctx, "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	l.listeners = append(l.listeners, listener)
	server := &http.Server{Handler: h, ErrorLog: slog.NewLogLogger(l.Options.Log.Handler(), slog.LevelDebug)}
	go server.Serve(listener)
	return listener.Addr().String(), nil
}

// Close stops everything at once.
func (l *Fleet) Close() {
	for _, e := range l.Entries {
		e.Abort()
	}
	l.stop()
	for _, listener := range l.listeners {
		listener.Close()
	}
}

// Config returns the first configuration of the lab.
func (l *Fleet) Config() *config.Config {
	o := l.Options
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
	l.declareZones(c)
	for _, e := range l.Engines {
		c.Targets[e.Name] = DeclareEngine(o.Engine, e.Zone, e.Address)
	}
	if len(l.PlainTargets) > 0 {
		c.Services[PlainServiceName] = config.Service{Kind: config.PlainService}
		c.Routes[PlainServiceName] = config.Route{Model: PlainServiceName, Service: PlainServiceName}
	}
	for i, p := range l.PlainTargets {
		c.Targets[p.Name] = config.Target{Service: PlainServiceName, Zone: o.Zones[i%len(o.Zones)], Address: p.Address, MaxRunning: 64}
	}
	c.ApplyDefaults()
	if o.ModifyConfig != nil {
		o.ModifyConfig(c)
	}
	return c
}

func (l *Fleet) declareZones(c *config.Config) {
	for i, from := range l.Options.Zones {
		c.Zones[from] = config.Zone{Region: l.Options.Region}
		for _, to := range l.Options.Zones[i+1:] {
			c.Links[from+"-"+to] = config.Link{From: from, To: to, OneWay: config.Duration(l.Options.OneWayDelay)}
		}
	}
}

// DeclareEngine returns the declaration of an engine stand-in.
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

// EngineAddresses returns where engines are reached directly.
func (l *Fleet) EngineAddresses() []string {
	addresses := make([]string, len(l.Engines))
	for i, e := range l.Engines {
		addresses[i] = e.Address
	}
	return addresses
}

// CallerAddresses returns where callers reach the running entry processes.
func (l *Fleet) CallerAddresses() []string {
	var addresses []string
	for _, e := range l.Entries {
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
