package assembler

import (
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/replacer"
	"parsleyscale/internal/operator/auditor"
)

// auditPromote adds a promotion and its outcome to the audit log.
func (v *VM) auditPromote(e replacer.Event) {
	outcome := auditor.Done
	if e.Err != nil {
		outcome = string(classifier.KindOf(e.Err))
	}
	v.auditor.Record(auditor.Entry{
		Subject: e.Group, Action: auditor.Promote, Instance: e.Instance, Reason: string(e.Reason), Token: e.Token, Outcome: outcome,
	})
}

// auditConfiguration adds to the audit log that a configuration came into force. To limit the writes to the store, only
// the VM with rank 0 does so, on behalf of all VMs.
func (v *VM) auditConfiguration(version uint64) {
	if v.members.isCountKnown() && v.members.rank(auditor.Configuration) == 0 {
		v.auditor.Record(auditor.Entry{Subject: auditor.Configuration, Action: auditor.Configure, Version: version, Outcome: auditor.Done})
	}
}
