package experiment

import "math"

// planFaults lets the trace's faults happen.
func (m *sim) planFaults() {
	for _, fault := range m.trace.Faults {
		m.after(fault.At, func() { m.begin(fault) })
	}
}

func (m *sim) begin(fault Fault) {
	hit := m.hit(fault)
	switch fault.Kind {
	case faultWithdraw:
		for _, e := range hit {
			m.withdraw(e)
		}
	case faultCrash:
		for _, e := range hit {
			m.crash(e, max(fault.Seconds, crashRestartAfter))
		}
	case faultDropCaches:
		for _, e := range m.engines {
			e.batch.DropCache()
		}
	case faultSlow:
		for _, e := range hit {
			e.setSlowdown(fault.Factor)
		}
		m.after(fault.ends(m.trace.Seconds)-m.now, func() {
			for _, e := range hit {
				e.setSlowdown(1)
			}
		})
	case faultStore:
		m.storeDown = true
		m.after(fault.ends(m.trace.Seconds)-m.now, func() { m.storeDown = false })
	case faultClocks:
		for _, e := range hit {
			e.skew = fault.Factor
		}
	case faultStuck, faultLying, faultMissing:
		for _, e := range hit {
			e.reports = fault.Kind
		}
		m.after(fault.ends(m.trace.Seconds)-m.now, func() {
			for _, e := range hit {
				e.reports = ""
			}
		})
	}
}

func (m *sim) hit(fault Fault) []*engine {
	var hit []*engine
	for _, index := range hitBy(fault, len(m.engines)) {
		hit = append(hit, m.engines[index])
	}
	return hit
}

// hitBy returns the engines that a fault hits, spread evenly over a fleet.
func hitBy(fault Fault, engines int) []int {
	n := int(math.Round(fault.Engines * float64(engines)))
	hit := make([]int, 0, n)
	for i := range n {
		hit = append(hit, i*engines/n)
	}
	return hit
}

// withdraw announces that an engine leaves and takes it away after the notice.
func (m *sim) withdraw(e *engine) {
	e.leaving = true
	m.after(withdrawalNotice, func() {
		e.gone = true
		e.vacate()
	})
}

func (m *sim) crash(e *engine, seconds float64) {
	e.out = true
	e.crash()
	m.after(seconds, func() { e.out = false })
}

func (e *engine) setSlowdown(factor float64) {
	e.slowdown = factor
	e.batch.SetSlowdown(factor)
}
