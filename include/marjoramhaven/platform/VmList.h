#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "marjoramhaven/base/EnumNames.h"
#include "marjoramhaven/base/Resources.h"
#include "marjoramhaven/base/Time.h"

namespace marjoramhaven {

/// What a VM is for.
enum class VmRole {
    Entry,
    Worker,
};

template<>
struct EnumTable<VmRole> {
    static constexpr EnumName<VmRole> Rows[] = {{VmRole::Entry, "entry"}, {VmRole::Worker, "worker"}};
};

/// A VM as the platform lists it. The list lags; a VM that is gone is not in it.
struct Vm {
    std::string name;
    VmRole role = VmRole::Worker;
    std::string zone;
    std::string rack;
    /// Base URL of a worker's interface.
    std::string url;
    /// True after the platform announced that it takes the VM away.
    bool leaving = false;
    Resources capacity;
};

/// The platform's list of VMs.
class VmList
{
public:
    virtual ~VmList() = default;

    /// The list, or nothing when it could not be had.
    using ListDone = std::function<void(std::optional<std::vector<Vm>>, TimePoint)>;

    /// Asks for the VMs of one zone.
    virtual void list(const std::string &zone, ListDone done) = 0;
};

} // namespace marjoramhaven
