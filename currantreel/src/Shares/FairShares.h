#ifndef CURRANTREEL_SHARES_FAIRSHARES_H
#define CURRANTREEL_SHARES_FAIRSHARES_H

#include "../Core/Id.h"
#include <cstddef>
#include <set>
#include <unordered_map>
#include <utility>

namespace currantreel {

/// Accounts of the workspaces that share one capacity: weighted fair queueing in virtual time.
///
/// While it has requests queued, a workspace is entitled to a share of the served cost in
/// proportion to its weight. It is eligible as long as it is ahead of that by no more than a small
/// allowance. Being idle earns nothing. With no request queued at all, nobody is short of capacity,
/// and all accounts start again.
class FairShares
{
public:
    /// Maximum number of accounts kept of workspaces without queued requests.
    static constexpr std::size_t maxIdleAccounts = 1'024;

    /// The first request of @p workspace was queued. @pre it had none queued.
    void activate(WorkspaceId workspace, double weight);
    /// The last queued request of @p workspace is gone. @pre it had one queued.
    void deactivate(WorkspaceId workspace);
    /// Charges @p cost, in any unit, to @p workspace, whose request was queued or placed directly.
    /// Without queued requests of any workspace there is nothing to account for.
    void charge(WorkspaceId workspace, double cost);

    /// Virtual time from which @p workspace is eligible.
    [[nodiscard]] double eligibleAt(WorkspaceId workspace) const;
    /// True unless @p workspace is ahead of its share by more than the allowance.
    [[nodiscard]] bool isEligible(WorkspaceId workspace) const
    {
        return eligibleAt(workspace) <= m_virtualTime;
    }
    /// True if @p workspace is behind its share by more than the allowance.
    [[nodiscard]] bool isBehind(WorkspaceId workspace) const;

    /// Served cost due so far to a workspace of weight 1 that always has requests queued.
    [[nodiscard]] double virtualTime() const { return m_virtualTime; }
    /// Lets time pass without service, when no workspace with queued requests is eligible.
    void advanceTo(double virtualTime);

    /// Number of workspaces with queued requests.
    [[nodiscard]] std::size_t activeCount() const { return m_activeCount; }
    /// Share of @p workspace in the capacity, among those with queued requests. @pre it has some.
    [[nodiscard]] double shareOf(WorkspaceId workspace) const
    {
        return m_accounts.at(workspace).weight / m_totalWeight;
    }

private:
    struct Account
    {
        double virtualTime = 0.0; ///< Served cost over weight, on the scale of m_virtualTime.
        double weight = 1.0;
        bool isActive = false; ///< Has requests queued.
    };

    [[nodiscard]] double allowance(const Account &account) const;
    Account &accountToCharge(WorkspaceId workspace);
    void eraseCaughtUp();

    std::unordered_map<WorkspaceId, Account> m_accounts;
    /// Inactive workspaces that are still ahead, by the virtual time at which that ends.
    std::set<std::pair<double, WorkspaceId>> m_idle;
    double m_virtualTime = 0.0;
    double m_totalWeight = 0.0; ///< Of the active workspaces.
    double m_meanCost = 0.0; ///< Of the last charges; 0 before the first.
    std::size_t m_activeCount = 0;
};

} // namespace currantreel

#endif
