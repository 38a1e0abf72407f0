// Command bluebellhold is the operators' tool. Run it with --help for its commands.
package main

import (
	"context"
	"os"
	"os/signal"

	"bluebellhold/internal/tool"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	status := tool.Run(ctx, tool.Config{Args: os.Args, Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr})
	cancel()
	os.Exit(status)
}
