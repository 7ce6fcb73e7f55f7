package ops

// Paths of the endpoint.
const (
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathStatus  = "/status"
	PathAudit   = "/audit"
	PathMetrics = "/metrics"
)

// Status is a process's state at a glance.
type Status struct {
	Role string `json:"role"`
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// ZoneDeclared tells whether the configuration in force declares Zone.
	ZoneDeclared bool   `json:"zone_declared"`
	Service      string `json:"service,omitempty"`
	Version      string `json:"version"`
	// UptimeMS is the time since the process started in milliseconds.
	UptimeMS int64 `json:"uptime_ms"`
	Ready    bool  `json:"ready"`
	// NotReadyReason tells why the process is not ready.
	NotReadyReason string `json:"not_ready,omitempty"`
	// Revision is the configuration revision in force, 0 before the first.
	Revision uint64 `json:"revision"`
	// ConfirmationAgeMS is how long ago the revision was known to be
	// current, in milliseconds.
	ConfirmationAgeMS int64 `json:"confirmation_age_ms"`
	// ZonesOut are the availability zones taken out of service.
	ZonesOut []string `json:"zones_out,omitempty"`
	// Hosts counts the hosts by their state, as the process knows them.
	Hosts map[string]int `json:"hosts"`
	// Flows counts established flows: its own at an agent, and those that
	// hosts have reported at an entry.
	Flows int64 `json:"flows"`
	// Requests is an agent's load. It is nil at an entry.
	Requests *Requests `json:"requests,omitempty"`
	// Refusals counts what was refused or dropped by cause.
	Refusals map[string]uint64 `json:"refusals"`
	// Detail is what only this role tells.
	Detail any `json:"detail,omitempty"`
}

// Requests is the load of a host.
type Requests struct {
	InService int `json:"in_service"`
	// Queued is the number of requests that wait for a slot.
	Queued int `json:"queued"`
	// Limit is the number of requests admitted at a time, of Slots.
	Limit int `json:"limit"`
	Slots int `json:"slots"`
}
