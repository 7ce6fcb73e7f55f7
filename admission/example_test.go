package admission_test

import (
	"fmt"
	"time"

	"github.com/turmericrock/turmericrock/admission"
)

// The limit starts at the cold limit for the warm-up, increases while requests
// succeed, and is reduced by the first shed request.
func Example() {
	now := time.Unix(0, 0)
	config := admission.Config{Slots: 4, MaxFlows: 100, Warmup: 10 * time.Second, ColdShare: 0.25}
	limiter := admission.NewLimiter(config, now)
	fmt.Println("cold:", limiter.Limit(now))

	now = now.Add(10 * time.Second)
	for range 4 {
		now = now.Add(time.Second)
		began := now
		limiter.Begin(now)
		limiter.End(now, admission.Result{Outcome: admission.Succeeded, AdmittedAt: began})
	}
	fmt.Println("warm:", limiter.Limit(now))

	limiter.Begin(now)
	limiter.End(now, admission.Result{Outcome: admission.Shed, AdmittedAt: now})
	fmt.Println("after a shed:", limiter.Limit(now))
	// Output:
	// cold: 1
	// warm: 4
	// after a shed: 1
}
