package shard

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// A fixed seed makes a failure repeatable.
func init() {
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.checks", "30")
	_ = flag.Set("rapid.steps", "150")
}

func TestShard(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "shard")
}
