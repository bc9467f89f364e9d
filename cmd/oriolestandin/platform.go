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

// platform lists the stand-ins for the platform's services and plain services.
type platform struct {
	Table   *serviceTable  `toml:"table"`
	Objects *serviceTable  `toml:"objects"`
	VMs     *vmsTable      `toml:"vms"`
	Plains  []serviceTable `toml:"plain"`
}

type serviceTable struct {
	Name   string `toml:"name"`
	Listen string `toml:"listen"`
}

type vmsTable struct {
	Listen  string          `toml:"listen"`
	Lag     config.Duration `toml:"lag"`
	Entries []vmEntry       `toml:"entry"`
}

type vmEntry struct {
	Address string `toml:"address"`
	Peer    string `toml:"peer"`
	Zone    string `toml:"zone"`
}

// service is one stand-in to serve.
type service struct {
	kind, name, listen string
	handler            http.Handler
}

// check requires every declared stand-in to have an address.
func (p platform) check(file string) error {
	for _, s := range p.services() {
		if s.listen == "" {
			return fmt.Errorf("%s: %s %s: listen is missing, allowed: an IP address and a port", file, s.kind, s.name)
		}
	}
	return nil
}

// services builds the stand-ins that the world file declares.
func (p platform) services() []service {
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

func (t *vmsTable) list() *standin.VMList {
	vms := standin.NewVMList(t.Lag.Std())
	for _, e := range t.Entries {
		vms.Register(store.VM{Address: e.Address, Peer: e.Peer, Zone: e.Zone, State: store.VMLive})
	}
	return vms
}

// servePlatform starts the stand-ins; they serve until the process ends.
func (p platform) servePlatform(log *slog.Logger) error {
	for _, s := range p.services() {
		listener, err := net.Listen("tcp", s.listen)
		if err != nil {
			return fmt.Errorf("%s %s: %w", s.kind, s.name, err)
		}
		go http.Serve(listener, s.handler)
		log.Info("stand-in serves", "kind", s.kind, "name", s.name, "address", s.listen)
	}
	return nil
}
