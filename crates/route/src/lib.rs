//! Request policy: admission, fair share, priorities, quotas, choice of group, retries and addresses.
