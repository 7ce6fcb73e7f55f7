package ops

// Paths of the operators' endpoint.
const (
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathStatus  = "/status"
	PathAudit   = "/audit"
	PathMetrics = "/metrics"
)

// Status summarizes the state of a process.
type Status struct {
	Role string `json:"role"`
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// ZoneDeclared reports whether the configuration in force declares Zone.
	ZoneDeclared bool   `json:"zone_declared"`
	Service      string `json:"service,omitempty"`
	Version      string `json:"version"`
	// UptimeMS is the time since the process started in milliseconds.
	UptimeMS int64 `json:"uptime_ms"`
	Ready    bool  `json:"ready"`
	// NotReadyReason is the reason why the process is not ready.
	NotReadyReason string `json:"not_ready,omitempty"`
	// Revision is the configuration revision in force, or 0 if there is none yet.
	Revision uint64 `json:"revision"`
	// ConfirmationAgeMS is the time since the revision was last known to be
	// current, in milliseconds.
	ConfirmationAgeMS int64 `json:"confirmation_age_ms"`
	// ZonesOut are the availability zones taken out of service.
	ZonesOut []string `json:"zones_out,omitempty"`
	// Hosts is the number of hosts by state, as known to the process.
	Hosts map[string]int `json:"hosts"`
	// Flows is the number of established flows: an agent counts its own, an entry
	// sums those that hosts report.
	Flows int64 `json:"flows"`
	// Requests is the request load of an agent. It is nil for an entry.
	Requests *Requests `json:"requests,omitempty"`
	// Refusals is the number of refused or dropped requests and packets by cause.
	Refusals map[string]uint64 `json:"refusals"`
	// Detail is the role-specific part of the status.
	Detail any `json:"detail,omitempty"`
}

// Requests is the request load of a host.
type Requests struct {
	InService int `json:"in_service"`
	// Queued is the number of requests that wait to be admitted.
	Queued int `json:"queued"`
	// Limit is the current limit of concurrent requests, at most Slots.
	Limit int `json:"limit"`
	Slots int `json:"slots"`
}
