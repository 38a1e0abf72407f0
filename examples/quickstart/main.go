// Command quickstart runs a small fleet in one process: it starts a stand-in for the platform and the upstreams and
// three instances, applies a release note, and sends requests as a caller would.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"time"

	"bluebellhold"
	"bluebellhold/id"
	"bluebellhold/internal/standin"
	"bluebellhold/store"
)

const (
	peerSecret    = "quickstart-peers-secret"
	operatorToken = "quickstart-operators-token"
	callerKey     = "key-of-the-school"
	serviceTime   = standin.Milliseconds(20)
)

var regions = []id.Region{"osrednja", "stajerska", "primorska"}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run starts the stand-in and the instances, runs all steps and stops everything.
func run() error {
	server, err := startStandin()
	if err != nil {
		return err
	}
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	instances, err := startInstances(ctx, server)
	if err != nil {
		return err
	}
	return runSteps(&demo{server: server, instances: instances})
}

func startStandin() (*standin.Server, error) {
	services := make(map[id.Service][]standin.Upstream)
	for _, service := range []id.Service{"pregled", "zrebalnik"} {
		for _, region := range regions {
			services[service] = append(services[service], standin.Upstream{
				Name: id.Upstream(string(service) + "-" + string(region)), Region: region,
				DataCentre: id.DataCentre(region + "-1"), Slots: 4, ServiceTime: serviceTime,
			})
		}
	}
	return standin.Start(standin.Config{Services: services})
}

// instance is one instance of the fleet with the address of its operators' API.
type instance struct {
	store.Member
	operatorAddress string
}

func startInstances(ctx context.Context, server *standin.Server) ([]instance, error) {
	var instances []instance
	var members []store.Member
	for _, region := range regions {
		addresses, err := freeAddresses(3)
		if err != nil {
			return nil, err
		}
		member := store.Member{
			Instance: id.Instance(region + "-1"), Region: region, DataCentre: id.DataCentre(region + "-1"),
			Caller: addresses[0], Peer: addresses[1],
		}
		members = append(members, member)
		instances = append(instances, instance{Member: member, operatorAddress: addresses[2]})
	}
	if err := server.SetMembers(standin.Members{List: members}); err != nil {
		return nil, err
	}
	for _, i := range instances {
		if err := startInstance(ctx, server, i); err != nil {
			return nil, err
		}
	}
	return instances, nil
}

func startInstance(ctx context.Context, server *standin.Server, i instance) error {
	client := store.NewClient(store.ClientConfig{Address: server.PlatformAddress(), Instance: i.Instance})
	instance, err := bluebellhold.New(bluebellhold.Config{
		Self: i.Member, Operator: i.operatorAddress, Secret: []byte(peerSecret), Token: []byte(operatorToken),
		Table: client, Objects: client, Directory: client,
	})
	if err != nil {
		return err
	}
	go func() { _ = instance.Run(ctx) }()
	return nil
}

// freeAddresses returns n free addresses of the loopback interface.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// retry calls check until it succeeds or 20 s have passed, and returns the last error.
func retry(check func() error) error {
	deadline := time.Now().Add(20 * time.Second)
	for {
		err := check()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}
