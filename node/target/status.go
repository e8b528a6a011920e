package target

import (
	"fmt"
	"net/http"

	"github.com/go-faster/errors"
)

// maxStatus is the highest valid status of HTTP; net/http takes any three digits for one.
const maxStatus = 599

// errInvalidStatus means that what a target sent is no answer, since its status is not one of a final answer.
var errInvalidStatus = errors.New("the target's answer has an invalid status")

// informational reports whether another answer to the same call follows one with a status. 101 is not one of them: what follows it is
// not HTTP, and no call asks for another protocol.
func informational(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// checkFinalStatus returns errInvalidStatus unless a status is one of a final answer.
func checkFinalStatus(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return errors.Wrap(errInvalidStatus, fmt.Sprintf("status %03d", status))
	}
	return nil
}
