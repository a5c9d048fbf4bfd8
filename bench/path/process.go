package path

import (
	"slices"
	"time"

	"github.com/prometheus/procfs"

	"github.com/rhubarbsaddle/rhubarbsaddle/local"
)

// largest returns the resident bytes of the largest process.
func largest(vms []*local.VM) (int64, error) {
	var most int64
	for _, vm := range vms {
		stat, err := statOf(vm)
		if err != nil {
			return 0, err
		}
		most = max(most, int64(stat.ResidentMemory()))
	}
	return most, nil
}

// processorTime returns the processor time that all daemons have used; zero if
// they run in this process.
func (b *bench) processorTime() (time.Duration, error) {
	if b.options.Binary == "" {
		return 0, nil
	}
	var sum float64
	for _, vm := range slices.Concat(b.deployment.Entries(), b.deployment.Sidecars()) {
		stat, err := statOf(vm)
		if err != nil {
			return 0, err
		}
		sum += stat.CPUTime()
	}
	return time.Duration(sum * float64(time.Second)), nil
}

func statOf(vm *local.VM) (procfs.ProcStat, error) {
	process, err := procfs.NewProc(vm.PID())
	if err != nil {
		return procfs.ProcStat{}, err
	}
	return process.Stat()
}
