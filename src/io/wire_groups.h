#ifndef RADISHROUTE_IO_WIRE_GROUPS_H_
#define RADISHROUTE_IO_WIRE_GROUPS_H_

#include "io/wire_basic.h"
#include "radishroute/expert_groups.h"
#include "radishroute/group_message.h"

namespace radishroute {

wire::GroupShape ToWire(const group_shape& s);
group_shape FromWire(const wire::GroupShape& w, bool& ok);

wire::GroupChange ToWire(const group_change& c);
group_change FromWire(const wire::GroupChange& w, bool& ok);

wire::GroupPin ToWire(const group_pin& c);
group_pin FromWire(const wire::GroupPin& w, bool& ok);

wire::RankReport ToWire(const group_report& m);
group_report FromWire(const wire::RankReport& w, bool& ok);

wire::StepGrant ToWire(const group_grant& m);
group_grant FromWire(const wire::StepGrant& w, bool& ok);

wire::StateGroup ToWire(const named_group& g);
named_group FromWire(const wire::StateGroup& w, bool& ok);

}  // namespace radishroute

#endif  // RADISHROUTE_IO_WIRE_GROUPS_H_
