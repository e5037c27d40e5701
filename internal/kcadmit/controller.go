// Package kcadmit decides under a shortage which requests an instance sends to the
// upstreams of a service, which it holds until there is room, and which it refuses.
// Without a shortage every request is admitted at once.
package kcadmit

import (
	"cmp"
	"math"

	"github.com/kingcuprail/kingcuprail/internal/kcqueue"
	"github.com/kingcuprail/kingcuprail/internal/kcroom"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// staleFromMs and maxAgeMs are the mean age of the figures from which they count
	// less, and from which they are not used. Reports of peers expire after 1,600 ms.
	staleFromMs = 750 * kcclock.Millisecond
	maxAgeMs    = 1500 * kcclock.Millisecond
	// plainFillShare is the share of the queue room of plain upstreams that is used.
	// The rest absorbs the differences between upstreams and the requests that
	// instances send without knowing of each other. plainWaitShare is the share of
	// the time between the work and the objective that may pass in that queue. With
	// 0.75, simulated responses come late more often; with 0.3, slots are idle.
	plainFillShare, plainWaitShare = 0.55, 0.55
	// The same for engines, which queue for longer and serve urgent requests first.
	promptFillShare, promptWaitShare = 0.9, 1.0
	// plainHoldFrom and promptHoldFrom are the pressure up to which nothing is held.
	plainHoldFrom, promptHoldFrom = 0.5, 0.8
	// plainMargin and promptMargin are the share of the objective that is kept for
	// the spread of the expected times.
	plainMargin, promptMargin = 0.15, 0.1
	// deadlineMargin is the multiple of the expected wait at an upstream that is left
	// before the deadline, because waits differ between upstreams.
	deadlineMargin = 2.0
	// maxPace is the pace at pressure 0 in multiples of the capacity, minPace the
	// least pace.
	maxPace, minPace = 8.0, 0.5
	// loopGain is the product of gain and delay of the correction of the pace. From
	// pi/2 on the load would oscillate.
	loopGain = 0.8
	// shareUpMs and shareBackMs are the time constants with which the share of this
	// instance grows while others leave capacity unused, and returns.
	shareUpMs, shareBackMs = 8000.0, 5000.0
	minShare, maxShare     = 0.25, 16.0
	// rejectionWindow is the number of recent admissions over which rejections are
	// counted. rejectionsFull is the share of rejections that shows that all
	// upstreams are full: more than one broken upstream of seven can cause.
	rejectionWindow, rejectionsFull = 20.0, 0.3
	// maxDebt is the number of mean requests that urgent requests and quiet
	// workspaces may be admitted ahead of the pace, and that may be saved up.
	maxDebt = 1.0
	// staleReturnMs is proposed to callers if the room is not known: roughly the time
	// in which a sixteenth of the running requests of an engine ends.
	staleReturnMs = 700 * kcclock.Millisecond
)

// Options configures a Controller.
type Options struct {
	// MaxWaiting and MaxBytes bound the held requests; 0 means the defaults.
	MaxWaiting int
	MaxBytes   int64
}

const (
	defaultMaxWaiting = 512
	defaultMaxBytes   = 8 << 20
)

// entry is a held request.
type entry struct {
	id          uint64
	request     Request
	lane        *lane
	enteredAt   kcclock.Millis
	latestStart kcclock.Millis
	late, gone  bool
}

func (t *Ticket) enteredAt() kcclock.Millis { return t.entry.enteredAt }

// Controller decides about the requests of one service. It is not safe for
// concurrent use.
//
// It answers bursts of a few seconds at twice the capacity, which many instances
// send of which none sees the whole. Each instance admits at its share of the rate
// at which the upstreams finish requests, corrected by how full they are. A control
// by how full they are alone would oscillate, because the figures are older than
// the time in which the queues of the upstreams fill.
type Controller struct {
	opts    Options
	senders int
	at      kcclock.Millis
	nextID  uint64
	// room is the last room, pressure how full it is: 1 is the intended level.
	room     kcroom.Room
	pressure float64
	stale    bool
	// pace is the rate of admissions in multiples of the share of this instance.
	// share corrects that share: 1 is an equal one.
	pace, share float64
	// tokens is the time of the service that this instance may use, in milliseconds
	// of its share. meanCost is the mean cost of a request in the same unit.
	tokens, meanCost float64
	// objective is the least recent latency objective, and prompts tells whether
	// the service prefills prompts.
	objective   float64
	objectiveAt kcclock.Millis
	prompts     bool
	// rejections is the recent share of admissions that upstreams have rejected.
	rejections float64
	lanes      laneSet
	usage      usage
	returns    returns
	waiting    int
	bytes      int64
	// shed holds the requests that gave way to others since the last Release, out
	// is the buffer of its results.
	shed, out []Ticket
}

// New returns a controller for one service.
func New(opts Options) *Controller {
	if opts.MaxWaiting <= 0 {
		opts.MaxWaiting = defaultMaxWaiting
	}
	if opts.MaxBytes <= 0 {
		opts.MaxBytes = defaultMaxBytes
	}
	return &Controller{
		opts: opts, senders: 1, share: 1, pace: maxPace, lanes: newLaneSet(), usage: newUsage(), returns: newReturns(),
	}
}

// SetSenders sets the number of instances that send to the upstreams of the room.
func (c *Controller) SetSenders(n int) { c.senders = max(n, 1) }

// Waiting returns the number of held requests.
func (c *Controller) Waiting() int { return c.waiting }

// Pressure returns how full the upstreams are. Requests are held from holdFrom on,
// and 1 is the intended level under a shortage.
func (c *Controller) Pressure() float64 { return c.pressure }

// Pace returns the rate of admissions in multiples of the capacity.
func (c *Controller) Pace() float64 { return c.pace * c.share }

// EscalationShare returns 1 without a shortage, and falls to 0 where requests begin
// to be held.
func (c *Controller) EscalationShare() float64 {
	from := c.holdFrom()
	return min(max((from-c.pressure)/(from/2), 0), 1)
}

func (c *Controller) holdFrom() float64 {
	if c.prompts {
		return promptHoldFrom
	}
	return plainHoldFrom
}

// Enter decides about a new request.
func (c *Controller) Enter(now kcclock.Millis, r Request, room kcroom.Room) Ticket {
	if r.CostMs <= 0 {
		r.CostMs = max(room.HoldMs, 1)
	}
	if r.Again {
		c.rejected()
	}
	// One request without a prompt does not make the service a plain one.
	c.prompts = c.prompts || r.Prompt
	l := c.lanes.lane(now, &r)
	if !r.Again {
		l.kind.arrive(now, float64(max(cmp.Or(r.ObjectiveMs, r.ObjectiveAt-now), 0)))
	}
	if c.objective == 0 || now-c.objectiveAt >= recountMs {
		c.objective, c.objectiveAt = c.lanes.leastObjective(now), now
		c.lanes.trimWorkspaces()
	}
	c.update(now, room)
	c.usage.add(now, r.Workspace, r.CostMs)
	if c.pressure <= c.holdFrom() && c.waiting == 0 {
		l.kind.serve(now)
		c.rejections -= c.rejections / rejectionWindow
		if c.stale {
			return c.ticket(Admitted, ReasonStale)
		}
		return c.ticket(Admitted, ReasonCalm)
	}
	cost := c.cost(&r)
	c.meanCost += (cost - c.meanCost) / rejectionWindow
	late := now >= c.latestStart(&r)
	if c.mayPass(now, &r, l, late) {
		c.take(now, l, cost)
		l.queue(false).Charge(r.Workspace, max(r.CostMs, 1), 1)
		return c.ticket(Admitted, ReasonPace)
	}
	switch {
	case !r.Again && c.returns.early(now, &r):
		return c.refuse(now, &r, ReasonEarly)
	case now >= c.lastStart(&r):
		return c.refuse(now, &r, ReasonDeadline)
	case c.expectedWait(l, late) > float64(c.lastStart(&r)-now):
		return c.refuse(now, &r, ReasonQueueLong)
	}
	return c.hold(now, &r, l, late)
}

// Refuse records that a request is refused for another reason, and returns when
// its caller should return.
func (c *Controller) Refuse(now kcclock.Millis, r Request, room kcroom.Room, reason string) Ticket {
	if r.Again {
		c.rejected()
	}
	c.update(now, room)
	return c.refuse(now, &r, reason)
}

// rejected records that an upstream had no room for an admitted request. It corrects
// figures that are late or false.
func (c *Controller) rejected() {
	c.rejections = min(c.rejections+1/rejectionWindow, 1)
	c.share = max(c.share*(1-1/rejectionWindow), minShare)
}

// Release returns the held requests that may proceed or are refused now. The result
// is valid until the next call.
func (c *Controller) Release(now kcclock.Millis, room kcroom.Room) []Ticket {
	c.update(now, room)
	c.out = append(c.out[:0], c.shed...)
	c.shed = c.shed[:0]
	if c.waiting == 0 {
		return c.out
	}
	c.expire(now)
	for c.waiting > 0 && (c.tokens >= 0 || c.stale) {
		l, late := c.lanes.next(now)
		if l == nil {
			break
		}
		it, _ := l.queue(late).Pop(now)
		e := it.Value
		c.removed(e)
		c.take(now, l, c.cost(&e.request))
		c.out = append(c.out, c.heldTicket(now, e, Admitted, ReasonWaited))
	}
	return c.out
}

// RefuseAll refuses all held requests, whose callers may return after a time.
func (c *Controller) RefuseAll(now kcclock.Millis, reason string, after kcclock.Millis) []Ticket {
	c.out = append(c.out[:0], c.shed...)
	c.shed = c.shed[:0]
	for _, l := range c.lanes.list {
		for late := range l.queues {
			for it, ok := l.queues[late].Shed(); ok; it, ok = l.queues[late].Shed() {
				c.removed(it.Value)
				t := c.heldTicket(now, it.Value, Refused, reason)
				t.RetryAfterMs = after
				c.out = append(c.out, t)
			}
		}
	}
	return c.out
}

// Leave removes a held request whose caller has disconnected. For others it does
// nothing.
func (c *Controller) Leave(_ kcclock.Millis, t Ticket) {
	e := t.entry
	if e == nil || e.gone {
		return
	}
	q := e.lane.queue(e.late)
	if q.Remove(e.request.Workspace, e.latestStart, func(x *entry) bool { return x == e }) {
		c.removed(e)
	}
}

// update brings the pressure, the pace and the tokens to the present.
func (c *Controller) update(now kcclock.Millis, room kcroom.Room) {
	dt := float64(max(now-c.at, 0))
	if c.at == 0 {
		dt = 0
	}
	c.at, c.room = max(now, c.at), room
	width, known := c.intendedQueue()
	c.stale = !known
	if !known {
		c.pressure, c.pace, c.tokens, c.rejections = 0, maxPace, 0, 0
		return
	}
	c.pressure = c.pressureOf(width)
	c.pace = c.paceAt(c.pressure, width)
	if c.waiting > 0 {
		c.share = min(max(c.share*math.Exp(dt/shareUpMs*(1-c.pressure)), minShare), maxShare)
	} else {
		c.share += (1 - c.share) * min(dt/shareBackMs, 1)
	}
	if c.pressure <= c.holdFrom() && c.waiting == 0 {
		// Nothing is saved up without a shortage: with the savings of all instances,
		// a burst would overflow the upstreams.
		c.tokens = 0
		return
	}
	c.tokens = min(c.tokens+dt*c.pace*c.share, maxDebt*c.meanCost)
}

// cost returns the time of the service that a request uses, in milliseconds of the
// share of this instance.
func (c *Controller) cost(r *Request) float64 {
	hold, prefill := c.room.HoldMs, 0.0
	switch {
	case r.Prompt:
		prefill = r.CostMs
	case r.CostMs > 0:
		hold = r.CostMs
	}
	if c.room.Slots <= 0 {
		return 0
	}
	return float64(c.senders) * max(hold/float64(c.room.Slots), prefill/float64(max(c.room.Upstreams, 1)))
}

// latestStart returns the latest time at which a request can be sent and still is
// expected to meet its objective.
func (c *Controller) latestStart(r *Request) kcclock.Millis {
	margin := plainMargin
	if r.Prompt {
		margin = promptMargin
	}
	return r.ObjectiveAt - kcclock.Millis(c.upstreamWaitMs(r)+r.CostMs+margin*c.objective)
}

// upstreamWaitMs returns the expected wait at an upstream.
func (c *Controller) upstreamWaitMs(r *Request) float64 {
	wait := c.room.WaitMs
	if drain := c.drainPerMs(); drain > 0 && !c.stale {
		// Upstreams are not filled alike: some have a queue while others have a free
		// slot.
		wait = max(wait, float64(c.room.Busy-c.room.Slots)/drain)
	}
	if r.Prompt {
		wait = max(wait, c.room.PrefillMs)
	}
	if c.pressure > 1 {
		// The pace brings the queue back to the intended level.
		wait /= c.pressure
	}
	return wait
}

// lastStart returns the latest time at which a request can be sent and its response
// still comes before the deadline.
func (c *Controller) lastStart(r *Request) kcclock.Millis {
	needMs := r.CostMs + deadlineMargin*c.upstreamWaitMs(r)
	if r.Prompt {
		needMs += promptMargin * c.objective
	}
	return r.DeadlineAt - max(kcclock.Millis(needMs), kcclock.Millisecond)
}

// mayPass reports whether a request is admitted without waiting. The pace must
// permit it, and no held request may come before it. The most urgent requests and
// those of quiet workspaces may run ahead of the pace.
func (c *Controller) mayPass(now kcclock.Millis, r *Request, l *lane, late bool) bool {
	if now >= c.lastStart(r) {
		return false
	}
	returned := c.returns.take(now, r)
	credit := c.lanes.urgencyCredit(now, r.Urgency) * c.usage.credit(now, r.Workspace)
	if returned {
		credit = 1
	}
	if c.tokens < -maxDebt*c.meanCost*credit {
		return false
	}
	return c.waiting == 0 || (returned && !late) || !c.lanes.precedes(now, l, late)
}

// take counts a request that is admitted.
func (c *Controller) take(now kcclock.Millis, l *lane, cost float64) {
	c.tokens -= cost
	c.rejections -= c.rejections / rejectionWindow
	l.kind.serve(now)
}

// expectedWait returns the time until the requests that come before a new one are
// admitted, at the present share of the instance.
func (c *Controller) expectedWait(l *lane, late bool) float64 {
	return float64(c.lanes.ahead(l, late))*c.meanCost/c.share + max(-c.tokens, 0)/c.share
}

func (c *Controller) hold(now kcclock.Millis, r *Request, l *lane, late bool) Ticket {
	c.nextID++
	e := &entry{id: c.nextID, request: *r, lane: l, enteredAt: now, late: late}
	c.push(e)
	c.waiting++
	c.bytes += r.Bytes
	for c.waiting > c.opts.MaxWaiting || c.bytes > c.opts.MaxBytes {
		x := c.lanes.shed()
		if x == nil {
			break
		}
		c.removed(x)
		if x == e {
			return c.refuse(now, r, ReasonQueueFull)
		}
		c.shed = append(c.shed, c.heldTicket(now, x, Refused, ReasonQueueFull))
	}
	t := c.ticket(Held, ReasonShortage)
	t.ID, t.Late, t.entry = e.id, late, e
	return t
}

func (c *Controller) push(e *entry) {
	e.latestStart = c.lastStart(&e.request)
	if !e.late {
		e.latestStart = min(e.latestStart, c.latestStart(&e.request))
	}
	e.lane.queue(e.late).Push(kcqueue.Item[*entry]{
		Value: e, LatestStart: e.latestStart, Workspace: e.request.Workspace, Work: max(e.request.CostMs, 1),
	})
}

// expire moves requests that have missed their objective behind the others, and
// refuses those that cannot meet their deadline.
func (c *Controller) expire(now kcclock.Millis) {
	for _, l := range c.lanes.list {
		for it, ok := l.queue(false).PopExpired(now); ok; it, ok = l.queue(false).PopExpired(now) {
			it.Value.late = true
			c.push(it.Value)
		}
		for it, ok := l.queue(true).PopExpired(now); ok; it, ok = l.queue(true).PopExpired(now) {
			c.removed(it.Value)
			c.out = append(c.out, c.heldTicket(now, it.Value, Refused, ReasonExpired))
		}
	}
}

// removed counts a request that is no longer held.
func (c *Controller) removed(e *entry) {
	e.gone = true
	c.waiting--
	c.bytes -= e.request.Bytes
}

func (c *Controller) refuse(now kcclock.Millis, r *Request, reason string) Ticket {
	t := c.ticket(Refused, reason)
	t.RetryAfterMs = c.retryAfter(now, r)
	return t
}

// retryAfter proposes a time to return. Callers get consecutive times, at the
// distance in which this instance admits requests, so that they return in order.
// Callers follow a proposal of at most a third of the time that they have left.
func (c *Controller) retryAfter(now kcclock.Millis, r *Request) kcclock.Millis {
	if c.stale {
		return c.returns.add(now, r, 0, staleReturnMs)
	}
	spacing := max(c.meanCost, c.cost(r)) / max(c.share, minShare)
	return c.returns.add(now, r, spacing, kcclock.Millis(float64(c.waiting)*spacing))
}

func (c *Controller) heldTicket(now kcclock.Millis, e *entry, d Decision, reason string) Ticket {
	t := c.ticket(d, reason)
	t.ID, t.Late, t.WaitedMs, t.entry = e.id, e.late, now-e.enteredAt, e
	if d == Refused {
		t.RetryAfterMs = c.retryAfter(now, &e.request)
	}
	return t
}

func (c *Controller) ticket(d Decision, reason string) Ticket {
	return Ticket{
		Decision: d, Reason: reason, Pressure: c.pressure, Pace: c.pace, Share: c.share, Waiting: c.waiting, Room: c.room,
	}
}

// releaseIntervalMs is the time between two calls of Release while requests are
// held.
const releaseIntervalMs = 10 * kcclock.Millisecond
