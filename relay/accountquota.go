package relay

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/loadboard"
	"github.com/rhubarbsaddle/rhubarbsaddle/quota"
)

// quotaTimeout bounds one ask for requests out of an account's quota.
const quotaTimeout = 150 * time.Millisecond

// Quotas grants requests out of the quotas of accounts, which count the requests of all
// processes.
type Quotas interface {
	AcquireQuota(ctx context.Context, ask loadboard.QuotaAsk) (loadboard.QuotaGrant, error)
}

// accountQuotas decides which requests are within the quotas of their accounts.
type accountQuotas struct {
	board Quotas
	// process is the name of this process.
	process string

	mu     sync.Mutex
	holder *quota.Holder
}

// admitByQuota charges the request to the quota of its account, if that has one. If it returns
// false, it has answered the caller.
func (e *exchange) admitByQuota() bool {
	if e.account == nil || !e.account.Quota.IsLimited() {
		return true
	}
	ctx, cancel := context.WithDeadline(e.req.Context(), e.deadline)
	defer cancel()
	d := e.relay.decideQuota(ctx, e)
	e.relay.metrics.countQuota(d.Outcome)
	switch {
	case d.Outcome.IsAdmitted():
		e.charged = 1
		return true
	case d.Outcome != quota.Refused && ctx.Err() != nil:
		e.respondTimeout()
	default:
		e.respondOverQuota(d)
	}
	return false
}

// startByQuota decides whether the account's quota has room for a whole program. If it returns
// false, it has answered the caller.
func (e *exchange) startByQuota() bool {
	if e.charged == 0 {
		return true
	}
	q := &e.relay.quotas
	q.mu.Lock()
	d := q.holder.Start(e.account.Name, time.Now())
	q.mu.Unlock()
	if d.Outcome.IsAdmitted() {
		return true
	}
	e.relay.metrics.countQuota(d.Outcome)
	e.respondOverQuota(d)
	return false
}

// recordProgramStart counts a program that starts as one whose further requests will need the
// account's quota.
func (e *exchange) recordProgramStart() {
	if e.charged == 0 {
		return
	}
	e.relay.quotas.mu.Lock()
	defer e.relay.quotas.mu.Unlock()
	e.relay.quotas.holder.RecordStart(e.account.Name)
}

// respondOverQuota answers a request that is refused because of the account's quota.
func (e *exchange) respondOverQuota(d quota.Decision) {
	if d.Begins {
		e.relay.log.Info().Str("event", "quota_exceeded").Str("account", e.account.Name).Float64("per_second", e.account.Quota.PerSecond).
			Float64("burst", e.account.Quota.Burst).Msg("requests of the account are refused")
	}
	if d.Outcome != quota.Refused {
		e.respondUnavailable(reasonQuotaUnknown, d.RetryAfter)
		return
	}
	e.w.Header().Set("Retry-After", strconv.FormatFloat(d.RetryAfter.Seconds(), 'f', 3, 64))
	e.respond(http.StatusTooManyRequests, reasonOverQuota)
}

// decideQuota decides on a request and waits for the board if necessary.
func (r *Relay) decideQuota(ctx context.Context, e *exchange) quota.Decision {
	q := &r.quotas
	name, limit, version := e.account.Name, e.account.Quota, e.config.Version
	q.mu.Lock()
	d := q.holder.Arrive(name, limit, version, time.Now())
	q.mu.Unlock()
	for {
		if d.Ask != nil {
			go r.askQuota(d.Ask)
		}
		if d.Outcome != quota.Pending {
			return d
		}
		select {
		case <-d.Answered:
		case <-ctx.Done():
			return quota.Decision{Outcome: quota.Unknown}
		}
		q.mu.Lock()
		d = q.holder.Resume(name, limit, version, time.Now())
		q.mu.Unlock()
	}
}

// askQuota asks the board. It does not end with the request that needs the answer, since others
// wait for it too.
func (r *Relay) askQuota(ask *quota.Ask) {
	ctx, cancel := context.WithTimeout(context.Background(), quotaTimeout)
	defer cancel()
	ask.Process = r.quotas.process
	grant, err := r.quotas.board.AcquireQuota(ctx, ask.QuotaAsk)
	if err != nil {
		r.log.Debug().Str("event", "quota_ask_failed").Str("account", ask.Name).Err(err).Msg("")
	}
	r.quotas.mu.Lock()
	defer r.quotas.mu.Unlock()
	if err != nil {
		r.quotas.holder.RecordFailure(ask, time.Now())
		return
	}
	r.quotas.holder.RecordGrant(ask, grant, time.Now())
}

// chargeExecution charges the next execution, unless the charge for the request covers it.
func (e *exchange) chargeExecution() {
	if e.charged == 0 || e.runs < e.charged {
		return
	}
	e.charged++
	e.relay.quotas.mu.Lock()
	defer e.relay.quotas.mu.Unlock()
	e.relay.quotas.holder.Charge(e.account.Name, time.Now())
}

// refundQuota takes back the charges for executions that cannot have begun.
func (e *exchange) refundQuota() {
	if e.charged <= e.runs {
		return
	}
	e.relay.quotas.mu.Lock()
	defer e.relay.quotas.mu.Unlock()
	for ; e.charged > e.runs; e.charged-- {
		if ask := e.relay.quotas.holder.Refund(e.account.Name, time.Now()); ask != nil {
			go e.relay.askQuota(ask)
		}
	}
}

// sweepQuotas returns unused grants to the board.
func (r *Relay) sweepQuotas(now time.Time) {
	r.quotas.mu.Lock()
	asks, ended := r.quotas.holder.Sweep(now)
	r.quotas.mu.Unlock()
	for _, ask := range asks {
		go r.askQuota(ask)
	}
	for _, episode := range ended {
		r.log.Info().Str("event", "quota_regained").Str("account", episode.Name).Int("refused", episode.Refused).Msg("")
	}
}

// recordProcesses records the number of processes that exchange load.
func (r *Relay) recordProcesses(n int, now time.Time) {
	r.quotas.mu.Lock()
	defer r.quotas.mu.Unlock()
	r.quotas.holder.RecordProcesses(n, now)
}
