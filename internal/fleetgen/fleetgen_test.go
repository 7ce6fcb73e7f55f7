package fleetgen

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestGenerateDesignSize(t *testing.T) {
	size := DesignSize()
	generated, err := Generate(size, 1)
	must.NoError(t, err)
	config, err := generated.Config()
	must.NoError(t, err)
	must.Len(t, size.Services, config.Services())
	listed := 0
	for _, list := range generated.Lists {
		listed += len(list.VMs)
	}
	must.Eq(t, size.Nodes(), listed)
	must.Eq(t, 5930, listed)
}
