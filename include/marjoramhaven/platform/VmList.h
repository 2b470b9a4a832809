#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "marjoramhaven/base/EnumNames.h"
#include "marjoramhaven/base/Resources.h"
#include "marjoramhaven/base/Time.h"

namespace marjoramhaven {

/// The purpose of a VM.
enum class VmRole {
    Entry,
    Worker,
};

template<>
struct EnumTable<VmRole> {
    static constexpr EnumName<VmRole> Rows[] = {{VmRole::Entry, "entry"}, {VmRole::Worker, "worker"}};
};

/// A VM in the platform's list. The list lags behind the actual state; a VM that no longer exists is not in it.
struct Vm {
    std::string name;
    VmRole role = VmRole::Worker;
    std::string zone;
    std::string rack;
    /// Base URL of a worker's HTTP interface.
    std::string url;
    /// True after the platform has announced that it will remove the VM.
    bool isLeaving = false;
    Resources capacity;
};

/// The platform's list of VMs.
class VmList
{
public:
    virtual ~VmList() = default;

    /// Receives the list, or std::nullopt when it could not be read.
    using ListDone = std::function<void(std::optional<std::vector<Vm>>, TimePoint)>;

    /// Requests the VMs of one zone.
    virtual void list(const std::string &zone, ListDone done) = 0;
};

} // namespace marjoramhaven
