package usage

// TeamTotal holds one team's figures in one sealed window.
type TeamTotal struct {
	Team    string  `json:"team"`
	Figures Figures `json:"figures"`
	// Late is the part of Figures that belongs to earlier windows.
	Late Figures `json:"late"`
}

// Tally adds up the batches for the window that is being sealed. Each run is
// counted once over all windows, because the sequence numbers of the sources are
// kept from window to window.
type Tally struct {
	window    Window
	retention int64 // Number of windows for which sequence numbers are kept.
	sources   map[string]*Sequences
	totals    map[string]*TeamTotal
	changed   map[*Sequences]bool

	Counted    int64
	Duplicates int64
	// TooOld counts records from before the retention. They are not added, since
	// it is no longer known whether they were counted before.
	TooOld int64
}

// NewTally returns a Tally for window. sources holds the sequence numbers counted
// in earlier windows and is modified. retention is the number of windows for which
// they are kept.
func NewTally(window Window, retention int64, sources map[string]*Sequences) *Tally {
	return &Tally{
		window:    window,
		retention: retention,
		sources:   sources,
		totals:    make(map[string]*TeamTotal),
		changed:   make(map[*Sequences]bool),
	}
}

// Add counts the records of a batch that were not counted before. It returns false
// if the batch is too old to be counted.
func (t *Tally) Add(batch Batch) bool {
	if int64(t.window-batch.Window) > t.retention {
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
	t.changed[source] = true
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

// Changed reports whether any record of source was counted.
func (t *Tally) Changed(source string) bool { return t.changed[t.sources[source]] }

// PruneSources removes the sources that had no record counted for longer than the
// retention, and returns their names.
func (t *Tally) PruneSources() []string {
	var pruned []string
	for name, source := range t.sources {
		if int64(t.window-source.LastWindow) > t.retention {
			delete(t.sources, name)
			pruned = append(pruned, name)
		}
	}
	return pruned
}
