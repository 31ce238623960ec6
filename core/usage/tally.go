package usage

// TeamTotal is one team's figures in one sealed window.
type TeamTotal struct {
	Team    string  `json:"team"`
	Figures Figures `json:"figures"`
	// Late is the part of Figures that belongs to earlier windows.
	Late Figures `json:"late"`
}

// Tally adds batches up for the window that is being sealed. Each run counts
// once over all windows, since the sources' sequences outlive the window.
type Tally struct {
	window  Window
	keep    int64 // Windows for which sequences are remembered.
	sources map[string]*Sequences
	totals  map[string]*TeamTotal
	touched map[*Sequences]bool

	Counted    int64
	Duplicates int64
	// TooOld counts records older than the remembered windows. They are not
	// added, since nobody can tell whether they were counted before.
	TooOld int64
}

// NewTally returns a tally of window. sources holds what earlier windows
// counted and is changed; keep is for how many windows it remembers.
func NewTally(window Window, keep int64, sources map[string]*Sequences) *Tally {
	return &Tally{
		window:  window,
		keep:    keep,
		sources: sources,
		totals:  make(map[string]*TeamTotal),
		touched: make(map[*Sequences]bool),
	}
}

// Add counts the records of a batch that were not counted before. It reports
// false when the batch is too old to be counted.
func (t *Tally) Add(batch Batch) bool {
	if int64(t.window-batch.Window) > t.keep {
		t.TooOld += int64(len(batch.Records))
		return false
	}
	var name string
	var source *Sequences
	for _, record := range batch.Records {
		if source == nil || record.Source != name {
			name, source = record.Source, t.source(record.Source)
		}
		t.add(source, record)
	}
	return true
}

func (t *Tally) source(name string) *Sequences {
	source, known := t.sources[name]
	if !known {
		source = new(Sequences)
		t.sources[name] = source
	}
	return source
}

func (t *Tally) add(source *Sequences, record Record) {
	if !source.Add(record.Sequence) {
		t.Duplicates++
		return
	}
	if source.LastWindow < t.window {
		source.LastWindow = t.window
	}
	t.touched[source] = true
	t.Counted++
	total, known := t.totals[record.Team]
	if !known {
		total = &TeamTotal{Team: record.Team}
		t.totals[record.Team] = total
	}
	total.Figures = total.Figures.Plus(record.Figures)
	if record.Window < t.window {
		total.Late = total.Late.Plus(record.Figures)
	}
}

// Totals returns the teams' totals in no particular order.
func (t *Tally) Totals() []TeamTotal {
	totals := make([]TeamTotal, 0, len(t.totals))
	for _, total := range t.totals {
		totals = append(totals, *total)
	}
	return totals
}

// Changed reports whether a record of source was counted.
func (t *Tally) Changed(source string) bool { return t.touched[t.sources[source]] }

// Forget drops the sources that counted nothing for the remembered windows and
// returns their names.
func (t *Tally) Forget() []string {
	var forgotten []string
	for name, source := range t.sources {
		if int64(t.window-source.LastWindow) > t.keep {
			delete(t.sources, name)
			forgotten = append(forgotten, name)
		}
	}
	return forgotten
}
