package target

import (
	"context"
	"io"
	"maps"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// An answer without a length ends with its connection, which the kernel of the target ends too if the target's process is
// killed or exits. Such an answer is whole only if the process has outlived it. That is asked over a witness: another
// connection to the process, which was open at some time together with the answer's. Whatever comes back over it after
// the answer's end was sent by the same process.

var (
	// ErrProcessEnded means that the target's process ended with the connection of an answer without a length.
	ErrProcessEnded = errors.New("the target's process ended with the connection that its answer ends with")
	// ErrEndUnconfirmed means that it is not known whether the target's process outlived an answer without a length.
	ErrEndUnconfirmed = errors.New("the answer ends with its connection, and the target did not confirm that it is alive")
)

// errNotWitnessed is ErrEndUnconfirmed for an answer whose connection may have ended before the witness was open.
var errNotWitnessed = errors.Wrap(ErrEndUnconfirmed, "no other connection to the target was open together with the answer's")

// EndCheck is the outcome of a check whether a target has outlived its answer, as a metric's label.
type EndCheck string

// The outcomes of a check.
const (
	EndConfirmed   EndCheck = "confirmed"
	EndOfProcess   EndCheck = "process_ended"
	EndUnconfirmed EndCheck = "unconfirmed"
)

// endCheckOf returns the outcome that an error of a check stands for.
func endCheckOf(err error) EndCheck {
	switch {
	case err == nil:
		return EndConfirmed
	case errors.Is(err, ErrProcessEnded):
		return EndOfProcess
	default:
		return EndUnconfirmed
	}
}

// process identifies a target's process. started is when it started, in Unix milliseconds, or zero if that is not known.
type process struct {
	address, id string
	started     int64
}

// asker sends the questions of witnesses.
type asker interface {
	// openWitness returns an idle connection to an address, or a new one.
	openWitness(ctx context.Context, address string) (*persistConn, error)
	// ask asks a target over a connection whether it is alive. If it is, reusable reports whether the connection can carry
	// another question. If not, the connection is closed.
	ask(ctx context.Context, pc *persistConn, p process) (reusable bool, err error)
	// keepWitness takes a connection that is no longer needed.
	keepWitness(pc *persistConn)
}

// witnesses are the witnesses of a daemon, one for each process with an answer that may end with its connection.
type witnesses struct {
	asker asker

	mu   sync.Mutex
	open map[process]*witness
	// unframed is when the processes whose latest answer had no length began it; entries older than defaultIdleTimeout are
	// removed. Their witnesses are opened before the next call is sent.
	unframed map[process]time.Time
	// forgotAt is when unframed was last cleared of old entries.
	forgotAt time.Time
}

func newWitnesses(a asker) *witnesses {
	return &witnesses{asker: a, open: map[process]*witness{}, unframed: map[process]time.Time{}}
}

// witness is a connection to a process beside those of its answers. A goroutine of its own, run, uses it.
type witness struct {
	all     *witnesses
	process process

	// The following are guarded by all.mu.

	users   map[*watch]bool
	running bool
	// next is the question to be asked, and renewal asks one while the connection is idle, so that it is not closed.
	next    *question
	renewal *time.Timer
	// opened reports that opening the connection has been tried. A connection that is lost is not replaced, since nothing
	// shows that another one leads to the same process; lost is the reason then.
	opened bool
	conn   *persistConn
	lost   error

	// tried is closed once opening the connection has been tried.
	tried chan struct{}
}

// question is one question over a witness. All answers that ended before it is sent wait for the same one.
type question struct {
	timeout time.Duration
	done    chan struct{}
	// err is nil if the target is alive. It is set before done is closed.
	err error
}

// expectsUnframed reports whether the latest answer of a process had no length.
func (w *witnesses) expectsUnframed(p process) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, found := w.unframed[p]
	return found
}

// recordFraming records whether the latest answer of a process had no length.
func (w *witnesses) recordFraming(p process, framing Framing) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if framing != FramedByConnection {
		delete(w.unframed, p)
		return
	}
	now := time.Now()
	if now.Sub(w.forgotAt) >= defaultIdleTimeout {
		maps.DeleteFunc(w.unframed, func(_ process, at time.Time) bool { return now.Sub(at) >= defaultIdleTimeout })
		w.forgotAt = now
	}
	w.unframed[p] = now
}

// watch is the use of a witness by one answer.
type watch struct {
	witness *witness
	// connected reports whether the answer's connection is open; nil if that is not known. unsent reports that the call has not
	// been sent, so that only the process at the other end of the witness, or a later one, can answer it.
	connected func() bool
	unsent    bool
	// witnessed reports that both connections were open at some time, so that they lead to the same process. What the daemon
	// has read does not show that: after a pause of the daemon, the answer's end may be waiting in the kernel. It is guarded
	// by all.mu.
	witnessed bool
}

// watch uses the witness of a process, which is opened in the background if there is none, for an answer that has begun.
// connected, which may be nil, reports whether the answer's connection is open. The caller must release the watch.
func (w *witnesses) watch(p process, connected func() bool) *watch {
	return w.add(p, &watch{connected: connected})
}

// watchBeforeSend is watch for a call that has not been sent yet. It has to be followed by awaitOpen.
func (w *witnesses) watchBeforeSend(p process) *watch { return w.add(p, &watch{unsent: true}) }

func (w *witnesses) add(p process, user *watch) *watch {
	w.mu.Lock()
	defer w.mu.Unlock()
	found := w.open[p]
	if found == nil {
		found = &witness{all: w, process: p, users: map[*watch]bool{}, tried: make(chan struct{})}
		w.open[p] = found
		found.start()
	}
	user.witness = found
	found.users[user] = true
	if found.conn != nil {
		user.witnessOpen()
	}
	return user
}

// witnessOpen records that the witness is open. The caller holds all.mu.
func (u *watch) witnessOpen() {
	u.witnessed = u.witnessed || u.unsent || u.connected != nil && u.connected()
}

// awaitOpen waits until the witness is open or could not be opened, no longer than connectTimeout. The call may be sent then, over a
// connection whose state connected reports.
func (u *watch) awaitOpen(ctx context.Context, connected func() bool) {
	timer := time.NewTimer(connectTimeout)
	defer timer.Stop()
	select {
	case <-u.witness.tried:
	case <-timer.C:
	case <-ctx.Done():
	}
	u.witness.all.mu.Lock()
	defer u.witness.all.mu.Unlock()
	u.unsent, u.connected = false, connected
}

// retire makes later answers open another witness. The caller holds all.mu.
func (w *witness) retire() {
	if w.all.open[w.process] == w {
		delete(w.all.open, w.process)
	}
}

// release ends the use of the witness. The last user's release gives the connection back.
func (u *watch) release() {
	w := u.witness
	w.all.mu.Lock()
	delete(w.users, u)
	var unused *persistConn
	if len(w.users) == 0 {
		w.retire()
		if w.renewal != nil {
			w.renewal.Stop()
		}
		if !w.running {
			unused, w.conn = w.conn, nil
		}
	}
	w.all.mu.Unlock()
	if unused != nil {
		w.all.asker.keepWitness(unused)
	}
}

// start lets run go on. The caller holds all.mu.
func (w *witness) start() {
	if !w.running {
		w.running = true
		go w.run()
	}
}

// join returns the question that is sent next, with at least this timeout.
func (w *witness) join(timeout time.Duration) *question {
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	if w.next == nil {
		w.next = &question{done: make(chan struct{})}
	}
	w.next.timeout = max(w.next.timeout, timeout)
	w.start()
	return w.next
}

// confirm returns nil if the target's process was alive after the call of confirm, as its answer over the witness
// shows. It waits no longer than timeout. Where the witness may lead to another process, the error is errNotWitnessed.
func (u *watch) confirm(ctx context.Context, timeout time.Duration) error {
	q := u.witness.join(timeout)
	select {
	case <-q.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	u.witness.all.mu.Lock()
	defer u.witness.all.mu.Unlock()
	if q.err == nil && !u.witnessed {
		return errNotWitnessed
	}
	return q.err
}

// run opens the connection and asks the questions, until there is nothing to do.
func (w *witness) run() {
	for {
		q, conn, done := w.nextTask()
		switch {
		case done:
			return
		case q == nil:
			w.connect()
		default:
			w.answer(q, conn)
		}
	}
}

// nextTask returns the question to ask next over the connection, nil if the connection is to be opened first, or done if
// there is nothing to do.
func (w *witness) nextTask() (q *question, conn *persistConn, done bool) {
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	if w.renewal != nil {
		w.renewal.Stop()
	}
	switch {
	case !w.opened:
		w.opened = true
		return nil, nil, false
	case w.next != nil:
		q, w.next = w.next, nil
		return q, w.conn, false
	}
	w.running = false
	switch {
	case w.conn == nil:
	case len(w.users) > 0:
		w.renewal = time.AfterFunc(w.conn.idleTimeout, func() { w.join(0) })
	default:
		unused := w.conn
		w.conn = nil
		defer w.all.asker.keepWitness(unused)
	}
	return nil, nil, true
}

// connect opens the connection.
func (w *witness) connect() {
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	conn, err := w.all.asker.openWitness(ctx, w.process.address)
	defer close(w.tried)
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	w.conn, w.lost = conn, err
	if err != nil {
		w.retire()
		return
	}
	for user := range w.users {
		user.witnessOpen()
	}
}

// answer asks a question over the connection and ends the question.
func (w *witness) answer(q *question, conn *persistConn) {
	defer close(q.done)
	if conn == nil {
		w.all.mu.Lock()
		defer w.all.mu.Unlock()
		q.err = unconfirmed(w.lost)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(q.timeout, unackedTimeout))
	defer cancel()
	reusable, err := w.all.asker.ask(ctx, conn, w.process)
	q.err = err
	if reusable {
		return
	}
	conn.close()
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	w.conn, w.lost = nil, err
	w.retire()
}

// unconfirmed returns the error for an answer whose end cannot be checked because the witness was lost.
func unconfirmed(lost error) error {
	switch {
	case lost == nil:
		return ErrEndUnconfirmed
	case errors.Is(lost, ErrProcessEnded):
		return lost
	default:
		return errors.Wrap(ErrEndUnconfirmed, lost.Error())
	}
}

// askError returns the error for a question that failed with err. A connection that the target's side has ended tells of
// the end of the process.
func askError(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		return errors.Wrap(ErrProcessEnded, err.Error())
	}
	return errors.Wrap(ErrEndUnconfirmed, err.Error())
}
