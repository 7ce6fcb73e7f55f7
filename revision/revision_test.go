package revision_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/revision"
)

func assemble(t *rapid.T, number uint64, out bool) *fleet.Config {
	manifest := fleet.Manifest{Revision: number, Zones: []fleet.Zone{{Name: "maes-1", Region: "wales", Number: 1, Out: out}}}
	config, err := fleet.Assemble(manifest, nil, false)
	must.NoError(t, err)
	return config
}

func TestRevisionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var holder revision.Holder
		start := time.Unix(0, 0)
		digests := make(map[uint64]string)
		for range 30 {
			number := rapid.Uint64Range(1, 6).Draw(t, "revision")
			config := assemble(t, number, rapid.Bool().Draw(t, "out"))
			before, confirmed := holder.Revision(), holder.ConfirmedAt()
			verdict := holder.Evaluate(number, config.Digest)
			asOf := start.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "as of")))
			must.Eq(t, verdict, holder.Offer(config, asOf))
			must.GreaterEq(t, before, holder.Revision())
			if known, found := digests[holder.Revision()]; found {
				must.Eq(t, known, holder.Config().Digest)
			}
			digests[holder.Revision()] = holder.Config().Digest
			if holder.Revision() == before {
				must.False(t, holder.ConfirmedAt().Before(confirmed))
			}
		}
	})
}

func TestConfirmationOfAnotherRevisionIsIgnored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var holder revision.Holder
		holder.Confirm(1, time.Unix(9, 0))
		must.True(t, holder.ConfirmedAt().IsZero())
		holder.Offer(assemble(t, 2, false), time.Unix(1, 0))
		holder.Confirm(1, time.Unix(5, 0))
		must.Eq(t, time.Unix(1, 0), holder.ConfirmedAt())
		holder.Confirm(2, time.Unix(5, 0))
		holder.Confirm(2, time.Unix(4, 0))
		must.Eq(t, time.Second, holder.Age(time.Unix(6, 0)))
	})
}

func TestPartialConfigurationIsCompleted(t *testing.T) {
	service := fleet.Service{ID: fleet.ServiceID{Customer: "teifi", Name: "proofs"}, Slots: 1, Connections: 1, Zones: []string{"maes-1"}}
	must.NoError(t, service.Addr.UnmarshalText([]byte("10.0.0.1:443")))
	part, err := fleet.Encode(fleet.Part{Services: []fleet.Service{service}})
	must.NoError(t, err)
	manifest := fleet.Manifest{
		Revision: 1,
		Zones:    []fleet.Zone{{Name: "maes-1", Region: "wales", Number: 1}},
		Parts:    []fleet.PartRef{{Name: "all", Digest: fleet.Digest(part)}},
	}
	partial, err := fleet.Assemble(manifest, nil, true)
	must.NoError(t, err)
	whole, err := fleet.Assemble(manifest, map[string][]byte{fleet.Digest(part): part}, false)
	must.NoError(t, err)
	var holder revision.Holder
	must.Eq(t, revision.Accepted, holder.Offer(partial, time.Unix(1, 0)))
	must.Eq(t, revision.Confirmed, holder.Offer(whole, time.Unix(1, 0)))
	must.SliceLen(t, 1, holder.Config().Services())
	must.Eq(t, revision.Confirmed, holder.Offer(partial, time.Unix(1, 0)))
	must.SliceLen(t, 1, holder.Config().Services())
}
