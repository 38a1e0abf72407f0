package placement_test

import (
	"os"
	"testing"

	"bluebellhold/internal/testseed"
)

func TestMain(m *testing.M) {
	os.Exit(testseed.Run(m))
}
