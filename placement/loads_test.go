package placement

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestLoadCacheExpiresAndIsBounded(t *testing.T) {
	now := time.Unix(0, 0)
	loads := NewLoadCache[string](time.Second, 2)
	must.Eq(t, UnknownLoad, loads.Recent(now, "a", UnknownLoad))
	must.Eq(t, 7, loads.Recent(now, "a", 7))
	must.Eq(t, 7, loads.Recent(now.Add(time.Second), "a", UnknownLoad))
	must.Eq(t, UnknownLoad, loads.Recent(now.Add(time.Second+1), "a", UnknownLoad))
	for _, host := range []string{"b", "c", "d", "e"} {
		loads.Recent(now, host, 1)
		must.LessEq(t, 2, len(loads.samples))
	}
}
