package demo

import "fmt"

// declarations is the tree that the demo applies: services, nightly batch work,
// gangs of model builds, and notices; the second edition differs in one value.
func declarations(edition int) map[string]string {
	files := map[string]string{
		"settings.yaml": `
request:
  timeout: 5s
  queue_length: 512
placing:
  task_lease: 6s
`,
		"vihmavesi/settings.yaml": fmt.Sprintf(`
team: vihmavesi
placing:
  max_attempts: %d
`, 4+edition),
		"vihmavesi/quoting/settings.yaml": `
service: quoting
request:
  patient_floor: 0.1
`,
		"vihmavesi/survey/settings.yaml": `
service: survey
team: survey
`,
		"vihmavesi/monitors/settings.yaml":  branch("service", "service"),
		"vihmavesi/catalogue/settings.yaml": branch("batch", "batch"),
		"vihmavesi/models/settings.yaml":    branch("gang", "batch"),
		"vihmavesi/notices/settings.yaml":   "team: notices\n" + branch("batch", "batch"),
		"vihmavesi/urgent/settings.yaml":    branch("batch", "urgent"),
	}
	return files
}

func branch(kind, band string) string {
	return fmt.Sprintf("kind: %s\nplacing:\n  band: %s\n", kind, band)
}
