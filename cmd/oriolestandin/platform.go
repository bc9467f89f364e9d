package main

import (
	"fmt"
	"log/slog"
	"net"
	"net/http"

	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/standin"
	"github.com/oriolefront/oriolefront/internal/store"
)

// platformConfig lists the stand-ins for the platform's services and plain
// services.
type platformConfig struct {
	Table   *serviceConfig  `toml:"table"`
	Objects *serviceConfig  `toml:"objects"`
	VMs     *vmListConfig   `toml:"vms"`
	Plains  []serviceConfig `toml:"plain"`
}

type serviceConfig struct {
	Name   string `toml:"name"`
	Listen string `toml:"listen"`
}

type vmListConfig struct {
	Listen  string          `toml:"listen"`
	Lag     config.Duration `toml:"lag"`
	Entries []vmConfig      `toml:"entry"`
}

type vmConfig struct {
	Address string `toml:"address"`
	Peer    string `toml:"peer"`
	Zone    string `toml:"zone"`
}

// service is a stand-in and the address it serves on.
type service struct {
	kind, name, listen string
	handler            http.Handler
}

// check requires a listen address for each declared stand-in.
func (p platformConfig) check(file string) error {
	for _, s := range p.services() {
		if s.listen == "" {
			return fmt.Errorf("%s: %s %s: listen is missing, allowed: an IP address and a port", file, s.kind, s.name)
		}
	}
	return nil
}

// services creates the declared stand-ins.
func (p platformConfig) services() []service {
	var list []service
	if p.Table != nil {
		list = append(list, service{"table", p.Table.Name, p.Table.Listen, standin.NewTable().Handler()})
	}
	if p.Objects != nil {
		list = append(list, service{"objects", p.Objects.Name, p.Objects.Listen, standin.NewObjects().Handler()})
	}
	if p.VMs != nil {
		list = append(list, service{"vms", "", p.VMs.Listen, p.VMs.list().Handler()})
	}
	for _, t := range p.Plains {
		list = append(list, service{"plain", t.Name, t.Listen, standin.NewPlain(t.Name).Handler()})
	}
	return list
}

func (t *vmListConfig) list() *standin.VMList {
	vms := standin.NewVMList(t.Lag.Std())
	for _, e := range t.Entries {
		vms.Register(store.VM{Address: e.Address, Peer: e.Peer, Zone: e.Zone, State: store.VMLive})
	}
	return vms
}

// servePlatform starts the stand-ins, which serve until the process exits.
func (p platformConfig) servePlatform(log *slog.Logger) error {
	for _, s := range p.services() {
		listener, err := net.Listen("tcp", s.listen)
		if err != nil {
			return fmt.Errorf("%s %s: %w", s.kind, s.name, err)
		}
		go http.Serve(listener, s.handler)
		log.Info("stand-in listening", "kind", s.kind, "name", s.name, "address", s.listen)
	}
	return nil
}
