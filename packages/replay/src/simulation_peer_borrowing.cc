#include "simulation_impl.h"

namespace jasminepath::replay {

template class simulation<decision::peer_borrowing>;

}  // namespace jasminepath::replay
