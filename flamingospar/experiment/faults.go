package experiment

import "math"

// scheduleFaults schedules the faults of the trace.
func (m *sim) scheduleFaults() {
	for _, fault := range m.trace.Faults {
		m.after(fault.At, func() { m.startFault(fault) })
	}
}

func (m *sim) startFault(fault Fault) {
	affected := m.affectedEngines(fault)
	switch fault.Kind {
	case faultWithdraw:
		for _, e := range affected {
			m.withdrawEngine(e)
		}
	case faultCrash:
		for _, e := range affected {
			m.crashEngine(e, max(fault.Seconds, crashRestartSeconds))
		}
	case faultDropCaches:
		for _, e := range m.engines {
			e.batch.DropCache()
		}
	case faultSlow:
		for _, e := range affected {
			e.setSlowdown(fault.Factor)
		}
		m.after(fault.endTime(m.trace.Seconds)-m.now, func() {
			for _, e := range affected {
				e.setSlowdown(1)
			}
		})
	case faultStoreOutage:
		m.storeDown = true
		m.after(fault.endTime(m.trace.Seconds)-m.now, func() { m.storeDown = false })
	case faultClockSkew:
		for _, e := range affected {
			e.clockSkew = fault.Factor
		}
	case faultStuckReports, faultIdleReports, faultNoReports:
		for _, e := range affected {
			e.reportFault = fault.Kind
		}
		m.after(fault.endTime(m.trace.Seconds)-m.now, func() {
			for _, e := range affected {
				e.reportFault = ""
			}
		})
	}
}

func (m *sim) affectedEngines(fault Fault) []*engine {
	var affected []*engine
	for _, index := range affectedIndexes(fault, len(m.engines)) {
		affected = append(affected, m.engines[index])
	}
	return affected
}

// affectedIndexes returns the indexes of the engines that a fault affects, evenly
// spaced over the fleet.
func affectedIndexes(fault Fault, engines int) []int {
	n := int(math.Round(fault.EngineFraction * float64(engines)))
	affected := make([]int, 0, n)
	for i := range n {
		affected = append(affected, i*engines/n)
	}
	return affected
}

// withdrawEngine drains an engine and removes it at the end of the notice.
func (m *sim) withdrawEngine(e *engine) {
	e.draining = true
	m.after(withdrawalNoticeSeconds, func() {
		e.removed = true
		e.evacuate()
	})
}

func (m *sim) crashEngine(e *engine, seconds float64) {
	e.unavailable = true
	e.crash()
	m.after(seconds, func() { e.unavailable = false })
}

func (e *engine) setSlowdown(factor float64) {
	e.slowdown = factor
	e.batch.SetSlowdown(factor)
}
