// Command bluebellholdd runs one entry instance.
package main

import (
	"os"

	"bluebellhold/internal/daemon"
)

func main() {
	os.Exit(daemon.Main(os.Args, os.Stderr))
}
