package fault

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
)

func TestFromUntypedErrorIsInternal(t *testing.T) {
	e := From(errors.New("something"))
	if e.Kind != Internal || e.Execution != Unknown || e.Status() != 500 {
		t.Fatalf("%+v", e)
	}
}

func TestFromUnwrapsTypedError(t *testing.T) {
	typed := New(NoTarget, "m", "r").WithRetry(time.Second).WithExecution(Ran)
	e := From(errors.Wrap(typed, "while testing"))
	if e.Kind != NoTarget || !e.Retryable || e.RetryAfter != time.Second || e.Execution != Ran {
		t.Fatalf("%+v", e)
	}
	if base := New(NoTarget, "m", "r"); base.WithExecution(Ran) == base || base.Execution != NotRun {
		t.Fatal("the base is changed")
	}
}

// TestEveryKindHasHTTPStatus keeps new kinds from falling back to 500.
func TestEveryKindHasHTTPStatus(t *testing.T) {
	kinds := []Kind{
		BadRequest, Unauthenticated, NoRoute, TooLarge, RateLimited, QueueFull, DeadlineTooShort, DeadlinePassed, NoTarget,
		TargetFailed, DuplicateKey, NoQuorum, KeyTooOld, KeyFromFuture, Abandoned, NotReady, ShuttingDown, Overloaded, BodyMemoryExhausted, Internal,
	}
	for _, k := range kinds {
		if _, ok := httpStatus[k]; !ok {
			t.Errorf("%s has no status", k)
		}
	}
}
