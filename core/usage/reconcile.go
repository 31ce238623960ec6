package usage

import (
	"fmt"
	"sort"
)

// Books is what the parts of the system know of one window, by team.
type Books struct {
	Window       Window
	SealedWindow Window             // The newest sealed window.
	Agents       map[string]Figures // Counted by the agents that answered.
	Held         map[string]Figures // Part of Agents that is not known to be durable.
	Entries      map[string]Figures // Counted by the entries that answered.
	Sealed       map[string]TeamTotal
	Reported     map[string]Figures // Acknowledged by the platform.
	// AgentsMissing and EntriesMissing did not answer.
	AgentsMissing  int
	EntriesMissing int
}

// Line compares the books of one team in one window.
type Line struct {
	Window       Window   `json:"window"`
	Team         string   `json:"team"`
	Agents       Figures  `json:"agents"`
	Entries      Figures  `json:"entries"`
	Sealed       Figures  `json:"sealed"`
	Reported     Figures  `json:"reported"`
	Explanations []string `json:"explanations,omitempty"`
	// Unexplained is set when a difference has no explanation.
	Unexplained bool `json:"unexplained,omitempty"`
}

// Reconcile returns a line for each team, sorted by name.
func Reconcile(books Books) []Line {
	var lines []Line
	for _, team := range teamsOf(books) {
		line := Line{
			Window:   books.Window,
			Team:     team,
			Agents:   books.Agents[team],
			Entries:  books.Entries[team],
			Sealed:   books.Sealed[team].Figures,
			Reported: books.Reported[team],
		}
		explain(&line, books)
		lines = append(lines, line)
	}
	return lines
}

func teamsOf(books Books) []string {
	known := make(map[string]bool)
	for _, figures := range []map[string]Figures{books.Agents, books.Entries, books.Reported} {
		for team := range figures {
			known[team] = true
		}
	}
	for team := range books.Sealed {
		known[team] = true
	}
	teams := make([]string, 0, len(known))
	for team := range known {
		teams = append(teams, team)
	}
	sort.Strings(teams)
	return teams
}

func explain(line *Line, books Books) {
	explainEntries(line, books)
	explainSealed(line, books)
	if line.Reported != line.Sealed {
		line.because("sealed but not yet acknowledged by the platform; it is repeated with the same figures")
	}
}

// explainEntries explains what agents counted and entries did not, or the
// other way round.
func explainEntries(line *Line, books Books) {
	if line.Agents == line.Entries {
		return
	}
	switch {
	case exceeds(line.Entries, line.Agents) && books.AgentsMissing > 0:
		line.because(fmt.Sprintf("%d agents did not answer or have restarted", books.AgentsMissing))
	case exceeds(line.Entries, line.Agents):
		line.because("entries received records of agents that have gone since")
	case books.EntriesMissing > 0:
		line.because(fmt.Sprintf("%d entries did not answer or have restarted; agents write what they did not", books.EntriesMissing))
	default:
		line.because("ends of runs that no entry received, or an entry that has restarted; agents write them")
	}
}

func explainSealed(line *Line, books Books) {
	if books.Window > books.SealedWindow {
		line.because("the window is not sealed yet")
		return
	}
	total := books.Sealed[line.Team]
	inWindow := total.Figures.Minus(total.Late)
	counted := larger(line.Agents, line.Entries)
	if total.Late != (Figures{}) {
		line.because(fmt.Sprintf("includes %d late tokens of earlier windows", total.Late.Tokens()))
	}
	if inWindow == counted {
		return
	}
	held := books.Held[line.Team]
	switch {
	case exceeds(inWindow, counted) || inWindow.Tokens() > counted.Tokens():
		line.because("sealed runs of agents and entries that have gone since")
	case held != (Figures{}):
		line.because(fmt.Sprintf("agents hold records of %d tokens; they go into a later window", held.Tokens()))
	default:
		line.because("records that came after the seal went into a later window")
		line.Unexplained = !laterWindowPossible(books)
	}
}

// laterWindowPossible reports whether the next window is still open.
func laterWindowPossible(books Books) bool { return books.Window+1 >= books.SealedWindow }

func (l *Line) because(explanation string) {
	l.Explanations = append(l.Explanations, explanation)
}

// exceeds reports whether a is nowhere below b and somewhere above it.
func exceeds(a, b Figures) bool {
	d := a.Minus(b)
	return d != (Figures{}) && d.Requests >= 0 && d.PromptTokens >= 0 && d.CachedTokens >= 0 && d.OutputTokens >= 0
}

func larger(a, b Figures) Figures {
	if exceeds(b, a) {
		return b
	}
	return a
}
