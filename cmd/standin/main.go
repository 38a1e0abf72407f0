// Command standin simulates the platform and the upstreams for tests.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"bluebellhold/internal/standin"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command := &cli.Command{
		Name:      "standin",
		Usage:     "simulate the platform and the upstreams for tests",
		ArgsUsage: " ",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "read settings from `FILE`; without it all addresses are free ports"},
		},
		Action: run,
	}
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, command *cli.Command) error {
	config, err := loadConfig(command.String("settings"))
	if err != nil {
		return err
	}
	server, err := standin.Start(config)
	if err != nil {
		return err
	}
	fmt.Println("standin: ready, control address", server.ControlAddress())
	<-ctx.Done()
	return server.Close()
}

func loadConfig(path string) (standin.Config, error) {
	if path == "" {
		return standin.Config{}, nil
	}
	body, err := os.ReadFile(path)
	if err != nil {
		return standin.Config{}, err
	}
	return standin.Parse(body)
}
