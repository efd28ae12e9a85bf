package cairnbay

// Resources is the capacity of a worker or the demand of a task, per dimension.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int64 `json:"milli_cpu,omitempty"`
	// MemoryMB is in megabytes.
	MemoryMB int64 `json:"memory_mb,omitempty"`
	// Accelerators is in whole devices.
	Accelerators int64 `json:"accelerators,omitempty"`
}

// Dimensions is the number of resource dimensions.
const Dimensions = 3

// Add returns r plus other.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.MilliCPU + other.MilliCPU, r.MemoryMB + other.MemoryMB, r.Accelerators + other.Accelerators}
}

// Sub returns r minus other; dimensions may become negative.
func (r Resources) Sub(other Resources) Resources {
	return Resources{r.MilliCPU - other.MilliCPU, r.MemoryMB - other.MemoryMB, r.Accelerators - other.Accelerators}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int) Resources {
	factor := int64(n)
	return Resources{r.MilliCPU * factor, r.MemoryMB * factor, r.Accelerators * factor}
}

// Fits reports whether r is at most limit in every dimension.
func (r Resources) Fits(limit Resources) bool {
	return r.MilliCPU <= limit.MilliCPU && r.MemoryMB <= limit.MemoryMB && r.Accelerators <= limit.Accelerators
}

// IsZero reports whether every dimension is zero.
func (r Resources) IsZero() bool {
	return r == Resources{}
}

// Values returns the amounts in the order processors, memory, accelerators.
func (r Resources) Values() [Dimensions]int64 {
	return [Dimensions]int64{r.MilliCPU, r.MemoryMB, r.Accelerators}
}

// DominantShare returns the largest share of total that r has in any dimension.
// Dimensions in which total is zero are ignored.
//
// Source: Ghodsi et al., Dominant Resource Fairness, NSDI 2011.
func (r Resources) DominantShare(total Resources) float64 {
	share := 0.0
	amounts, totals := r.Values(), total.Values()
	for i := range amounts {
		if totals[i] <= 0 {
			continue
		}
		share = max(share, float64(amounts[i])/float64(totals[i]))
	}
	return share
}
