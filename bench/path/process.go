package path

import (
	"slices"
	"time"

	"github.com/prometheus/procfs"

	"github.com/rhubarbsaddle/rhubarbsaddle/local"
)

// maxResidentMemory returns the resident bytes of the largest of the VMs'
// processes.
func maxResidentMemory(vms []*local.VM) (int64, error) {
	var largest int64
	for _, vm := range vms {
		stat, err := processStat(vm)
		if err != nil {
			return 0, err
		}
		largest = max(largest, int64(stat.ResidentMemory()))
	}
	return largest, nil
}

// processorTime returns the processor time that all daemons have used, or zero if
// they run in this process.
func (b *bench) processorTime() (time.Duration, error) {
	if b.options.Binary == "" {
		return 0, nil
	}
	var sum float64
	for _, vm := range slices.Concat(b.deployment.Entries(), b.deployment.Sidecars()) {
		stat, err := processStat(vm)
		if err != nil {
			return 0, err
		}
		sum += stat.CPUTime()
	}
	return time.Duration(sum * float64(time.Second)), nil
}

func processStat(vm *local.VM) (procfs.ProcStat, error) {
	process, err := procfs.NewProc(vm.PID())
	if err != nil {
		return procfs.ProcStat{}, err
	}
	return process.Stat()
}
