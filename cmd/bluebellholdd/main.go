// Command bluebellholdd runs one instance.
package main

import (
	"os"

	"bluebellhold/internal/daemon"
)

func main() {
	os.Exit(daemon.Main(os.Args, os.Stderr))
}
