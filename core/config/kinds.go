package config

var spreadNames = []string{"none", "data-centres", "regions"}

func nameOf(names []string, i int) string {
	if i < 0 || i >= len(names) {
		return "unknown"
	}
	return names[i]
}
