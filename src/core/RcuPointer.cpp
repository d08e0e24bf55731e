// Uses the membarrier flavour of liburcu, whose readers need no memory barrier.
#include "core/RcuPointer.h"

#include <urcu/urcu-memb.h>

namespace cyclamencroft {

RcuReaderThread::RcuReaderThread() { urcu_memb_register_thread(); }
RcuReaderThread::~RcuReaderThread() { urcu_memb_unregister_thread(); }

RcuReadSection::RcuReadSection() { urcu_memb_read_lock(); }
RcuReadSection::~RcuReadSection() { urcu_memb_read_unlock(); }

void rcuSynchronize() { urcu_memb_synchronize_rcu(); }

} // namespace cyclamencroft
