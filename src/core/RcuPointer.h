// Read-copy-update of one object. Readers on I/O threads never block and never
// modify a shared reference count; the writer waits until no reader uses the
// old object.
#pragma once

#include <atomic>
#include <memory>
#include <utility>

namespace cyclamencroft {

/// Registers the calling thread as a reader for its lifetime. Needed once in
/// every thread that calls RcuPointer::read().
class RcuReaderThread {
public:
  RcuReaderThread();
  ~RcuReaderThread();
  RcuReaderThread(const RcuReaderThread &) = delete;
  RcuReaderThread &operator=(const RcuReaderThread &) = delete;
};

/// Read-side critical section. Must be short and must not block.
class RcuReadSection {
public:
  RcuReadSection();
  ~RcuReadSection();
  RcuReadSection(const RcuReadSection &) = delete;
  RcuReadSection &operator=(const RcuReadSection &) = delete;
};

/// Waits for a grace period: until all read-side critical sections that have
/// begun are finished. Must not be called within one.
void rcuSynchronize();

template <class T> class RcuPointer {
public:
  RcuPointer() = default;
  ~RcuPointer() { delete m_Current.load(std::memory_order_relaxed); }
  RcuPointer(const RcuPointer &) = delete;
  RcuPointer &operator=(const RcuPointer &) = delete;

  /// Calls \p Use with the current object, or nullptr when there is none, and
  /// returns its result. The object must not be used after that.
  template <class F> auto read(F Use) const {
    const RcuReadSection Section;
    return Use(m_Current.load(std::memory_order_acquire));
  }

  /// Publishes a new object and destroys the old one. One writer at a time.
  void replace(std::unique_ptr<const T> New) {
    const T *Old = m_Current.exchange(New.release(), std::memory_order_acq_rel);
    if (Old == nullptr)
      return;
    rcuSynchronize();
    delete Old;
  }

private:
  /// Owned.
  std::atomic<const T *> m_Current{nullptr};
};

} // namespace cyclamencroft
