package catalog

import (
	"time"

	"github.com/turmericrock/turmericrock/flow"
)

// configHistory is what a process knows of earlier configurations.
type configHistory struct {
	former map[flow.Endpoint][]FormerService
	// retired holds the services that are no longer declared, with the time at which each was
	// retired, on the local clock of the process that asked.
	retired map[string]time.Duration
	// knownSince is the time since which the process knows all configurations, on the
	// local clock of the process that asked.
	knownSince time.Duration
}

// wireConfigHistory is the encoding of a configHistory.
type wireConfigHistory struct {
	Former []wireFormerServices `cbor:"1,keyasint,omitempty"`
	// KnownMS is for how long, in milliseconds, the process has known all configurations.
	KnownMS int64 `cbor:"2,keyasint"`
	// Retired holds the services that are no longer declared, with the time since each was
	// retired.
	Retired []wireFormerService `cbor:"3,keyasint,omitempty"`
}

func encodeConfigHistory(c *Catalog, now time.Duration) *wireConfigHistory {
	known := min(maxPeerTime, max(0, now-c.ConfigsKnownSince))
	w := &wireConfigHistory{Former: encodeFormerServices(c.Config, now), KnownMS: known.Milliseconds()}
	for name, s := range c.Config.Services {
		if age := max(0, now-s.RetiredAt); s.Retired && age < removedHostRetention {
			w.Retired = append(w.Retired, wireFormerService{Service: name, AgeMS: age.Milliseconds()})
		}
	}
	return w
}

// decode returns what a peer told, or nil if it told nothing.
func (w *wireConfigHistory) decode(now time.Duration) *configHistory {
	if w == nil {
		return nil
	}
	h := &configHistory{
		former: decodeFormerServices(w.Former, now), retired: make(map[string]time.Duration, len(w.Retired)),
		knownSince: now - fromMilliseconds(w.KnownMS),
	}
	for _, s := range w.Retired {
		h.retired[s.Service] = now - fromMilliseconds(s.AgeMS)
	}
	return h
}

// appliedState identifies the state that a process has applied.
type appliedState struct {
	position    Position
	confirmedAt time.Duration
	// version is that of the configuration, or 0 if there is none.
	version uint64
}

func (s *Syncer) appliedState() appliedState {
	state := appliedState{position: s.Tracker.Position(), confirmedAt: s.Tracker.ConfirmedAt()}
	if c := s.Tracker.Current(); c != nil {
		state.version = c.Config.Version
	}
	return state
}

// hasNewConfig reports whether the configuration was replaced since a state was applied.
func (s *Syncer) hasNewConfig(since appliedState) bool {
	return since.version != 0 && s.appliedState().version != since.version
}

// adoptConfigHistory takes over what a peer, whose state was just applied, knows of earlier
// configurations. before is the state that was applied until then. Peers leave out
// configurations that were superseded, and tell the services that these named as former ones.
func (s *Syncer) adoptConfigHistory(before appliedState, r *ReadResult) {
	switch h := r.configs; {
	case h == nil && r.history != nil:
		s.Tracker.AdoptFormerServices(r.history.former)
	case h != nil:
		if s.Tracker.adoptRetiredServices(h.retired, s.Now()) {
			s.OnChange(s.Tracker.Current())
		}
		s.Tracker.AdoptFormerServices(h.former)
		if s.hasNewConfig(before) && h.knownSince > before.confirmedAt {
			s.Tracker.setConfigsKnownSince(h.knownSince)
		}
		// A peer that is behind does not know the latest configurations of this process.
		if !r.Position.Before(before.position) {
			s.Tracker.AdoptConfigHistory(h.knownSince)
		}
	}
}

// AdoptConfigHistory records that a peer, whose former services were adopted, has known all
// configurations since a time on the local clock.
func (t *Tracker) AdoptConfigHistory(since time.Duration) {
	if since < t.configsKnownSince {
		t.setConfigsKnownSince(since)
	}
}

func (t *Tracker) setConfigsKnownSince(since time.Duration) {
	t.configsKnownSince = since
	if c := t.current.Load(); c != nil {
		republished := *c
		republished.ConfigsKnownSince = since
		t.current.Store(&republished)
	}
}
