package rights

import "github.com/orioleusher/orioleusher/internal/document"

// twoTeams returns two teams with rates that no test reaches.
func twoTeams() []document.Team {
	return []document.Team{
		{Name: "team-1", RatePerSecond: 1e6, Burst: 1e6}, {Name: "team-2", RatePerSecond: 1e6, Burst: 1e6},
	}
}
