package usage

import (
	"fmt"
	"sort"
)

// ReconcileInput holds what each part of the system counted in one window, by
// team.
type ReconcileInput struct {
	Window       Window
	SealedWindow Window             // The latest sealed window.
	Agents       map[string]Figures // Counted by the agents that responded.
	Held         map[string]Figures // The part of Agents that is not known to be durable.
	Entries      map[string]Figures // Counted by the entries that responded.
	Sealed       map[string]TeamTotal
	Reported     map[string]Figures // Acknowledged by the platform.
	// AgentsMissing and EntriesMissing count the processes that did not respond.
	AgentsMissing  int
	EntriesMissing int
}

// ReconcileLine compares the counts of one team in one window.
type ReconcileLine struct {
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

// Reconcile returns one line per team, sorted by team name.
func Reconcile(input ReconcileInput) []ReconcileLine {
	var lines []ReconcileLine
	for _, team := range teamsOf(input) {
		line := ReconcileLine{
			Window:   input.Window,
			Team:     team,
			Agents:   input.Agents[team],
			Entries:  input.Entries[team],
			Sealed:   input.Sealed[team].Figures,
			Reported: input.Reported[team],
		}
		explain(&line, input)
		lines = append(lines, line)
	}
	return lines
}

func teamsOf(input ReconcileInput) []string {
	known := make(map[string]bool)
	for _, figures := range []map[string]Figures{input.Agents, input.Entries, input.Reported} {
		for team := range figures {
			known[team] = true
		}
	}
	for team := range input.Sealed {
		known[team] = true
	}
	teams := make([]string, 0, len(known))
	for team := range known {
		teams = append(teams, team)
	}
	sort.Strings(teams)
	return teams
}

func explain(line *ReconcileLine, input ReconcileInput) {
	explainEntries(line, input)
	explainSealed(line, input)
	if line.Reported != line.Sealed {
		line.addExplanation("sealed but not yet acknowledged by the platform; the report is repeated with the same figures")
	}
}

// explainEntries explains a difference between the counts of agents and entries.
func explainEntries(line *ReconcileLine, input ReconcileInput) {
	if line.Agents == line.Entries {
		return
	}
	switch {
	case exceeds(line.Entries, line.Agents) && input.AgentsMissing > 0:
		line.addExplanation(fmt.Sprintf("%d agents did not answer or have restarted", input.AgentsMissing))
	case exceeds(line.Entries, line.Agents):
		line.addExplanation("entries received records of agents that have stopped since")
	case input.EntriesMissing > 0:
		line.addExplanation(fmt.Sprintf("%d entries did not answer or have restarted; agents write the records that these entries did not", input.EntriesMissing))
	default:
		line.addExplanation("records that no entry received, or an entry that has restarted; agents write these records")
	}
}

func explainSealed(line *ReconcileLine, input ReconcileInput) {
	if input.Window > input.SealedWindow {
		line.addExplanation("the window is not sealed yet")
		return
	}
	total := input.Sealed[line.Team]
	inWindow := total.Figures.Minus(total.Late)
	counted := larger(line.Agents, line.Entries)
	if total.Late != (Figures{}) {
		line.addExplanation(fmt.Sprintf("includes %d late tokens of earlier windows", total.Late.Tokens()))
	}
	if inWindow == counted {
		return
	}
	held := input.Held[line.Team]
	switch {
	case exceeds(inWindow, counted) || inWindow.Tokens() > counted.Tokens():
		line.addExplanation("sealed runs of agents and entries that have stopped since")
	case held != (Figures{}):
		line.addExplanation(fmt.Sprintf("agents hold records of %d tokens, which go into a later window", held.Tokens()))
	default:
		line.addExplanation("records that arrived after the window was sealed went into a later window")
		line.Unexplained = !lateRecordsPossible(input)
	}
}

// lateRecordsPossible reports whether at most one later window is sealed. Records
// that come after the seal can then still go into a later window.
func lateRecordsPossible(input ReconcileInput) bool { return input.Window+1 >= input.SealedWindow }

func (l *ReconcileLine) addExplanation(explanation string) {
	l.Explanations = append(l.Explanations, explanation)
}

// exceeds reports whether a differs from b and is at least b in every figure.
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
