package shard

// defect is a fault that tests inject to show that their oracle detects it.
type defect uint8

const (
	// defectLateMark starts at-most-once tasks before their mark is confirmed.
	defectLateMark defect = iota + 1
	// defectEarlyRelease starts tasks elsewhere while they may still run.
	defectEarlyRelease
	// defectIgnoredFence continues after a higher epoch was seen, on every worker
	// that still accepts the old one.
	defectIgnoredFence
	// defectNoDeadline sends calls that take effect however late they arrive.
	defectNoDeadline
)
