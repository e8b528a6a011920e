package daemon

import (
	"net"

	"github.com/go-faster/errors"
)

// retryingListener marks each error of Accept as temporary, unless the listener is closed: net/http then tries again after a
// pause. Without it, a connection that failed before it was accepted, or a shortage of memory in the kernel, would end the server,
// and with it the daemon and all of its calls.
type retryingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l retryingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return nil, temporaryError{err}
	}
	return conn, err
}

// temporaryError is a net.Error after which net/http's server goes on.
type temporaryError struct{ error }

// Timeout implements net.Error.
func (temporaryError) Timeout() bool { return false }

// Temporary implements net.Error.
func (temporaryError) Temporary() bool { return true }

// Unwrap returns the error of the listener.
func (e temporaryError) Unwrap() error { return e.error }
