package kcadmit

import (
	"math"
)

// drainPerMs returns the number of requests that the upstreams finish in a
// millisecond while all their slots are in use.
func (c *Controller) drainPerMs() float64 { return float64(c.room.Slots) / c.room.HoldMs }

// slackMs returns the part of the objective that is not used for the work itself.
func (c *Controller) slackMs() float64 {
	if c.prompts {
		return c.objective
	}
	return max(c.objective-c.room.HoldMs, 0)
}

func (c *Controller) shares() (fill, wait float64) {
	if c.prompts {
		return promptFillShare, promptWaitShare
	}
	return plainFillShare, plainWaitShare
}

// intendedQueue returns the number of requests that should wait at the upstreams
// under a shortage. It is unknown if the figures are missing or old.
func (c *Controller) intendedQueue() (width float64, known bool) {
	r := &c.room
	if r.Upstreams <= 0 || r.Slots <= 0 || !(r.HoldMs > 0) || math.IsInf(r.HoldMs, 0) || r.AgeMs > maxAgeMs {
		return 0, false
	}
	fill, wait := c.shares()
	width = fill * float64(max(r.Queueable, 0)+max(r.Busy-r.Slots, 0))
	if c.objective > 0 {
		width = min(width, wait*c.slackMs()*c.drainPerMs())
	}
	return max(width, 1, float64(r.Slots)/10), true
}

// pressureOf returns how full the upstreams are relative to the intended queue,
// the wait for a slot and for the prefill relative to the objective, and what the
// rejections of upstreams tell, whichever is most.
func (c *Controller) pressureOf(width float64) float64 {
	p := float64(c.room.Busy-c.room.Slots) / width
	_, wait := c.shares()
	if slack := wait * c.slackMs(); slack > 0 {
		p = max(p, c.room.WaitMs/slack, c.room.PrefillMs/slack)
	}
	if age := c.room.AgeMs; age > staleFromMs {
		p *= float64(maxAgeMs-age) / float64(maxAgeMs-staleFromMs)
	}
	return max(p, min(c.rejections/rejectionsFull, 1), 0)
}

// paceAt returns the rate of admissions at a pressure, in multiples of the
// capacity. Near 1 it corrects deviations as fast as the age of the figures
// permits; below, it rises steeply, so that no upstream is idle.
func (c *Controller) paceAt(pressure, width float64) float64 {
	delayMs := 2*float64(max(c.room.AgeMs, 0)) + 2*float64(releaseIntervalMs)
	gain := min(loopGain*width/(c.drainPerMs()*delayMs), 1)
	if pressure >= 1 {
		return max(1-gain*(pressure-1), minPace)
	}
	below := max(1-pressure/c.holdFrom(), 0)
	if !c.prompts {
		below *= below
	}
	return 1 + gain*(1-pressure) + (maxPace-1)*below
}
