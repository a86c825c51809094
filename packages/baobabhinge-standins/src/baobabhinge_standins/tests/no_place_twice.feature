Feature: No request passes the same place twice

  Scenario Outline: A gateway refuses a call that has been there
    Given three regions whose gateways can disagree
    When a call that has passed <path> comes to the peers' side of <gateway>
    Then it is <outcome>

    Examples:
      | path                                              | gateway        | outcome            |
      | west-gateway-1@west                               | west-gateway-1 | refused: path-loop |
      | west-gateway-1@west,south-gateway-1@south         | west-gateway-2 | refused: path-loop |
      | west-gateway-2@west,east-gateway-1@east           | west-gateway-1 | refused: path-loop |
      | east-gateway-1@east                               | west-gateway-1 | answered once      |
      | west-gateway-1@west                               | east-gateway-1 | refused: no-backend-server |

  Scenario Outline: Gateways with different lists of vms
    Given three regions whose gateways can disagree
    And no gateway lists the engines of <hidden>
    When a caller of <entry> asks for a completion
    Then it is <outcome>

    Examples:
      | hidden        | entry          | outcome                    |
      | its region    | west-gateway-1 | refused: no-backend-server |
      | its region    | east-gateway-1 | refused: no-backend-server |
      | no region     | east-gateway-1 | answered once              |

  Scenario: A failed forward is not followed by one to the same region
    Given three regions whose gateways can disagree
    When the connections of east-gateway-1 break in the middle of a stream
    Then the stream is whole, and each region that ran it ran it once

  Scenario Outline: Gateways with different configurations
    Given three regions whose gateways can disagree
    And completions are placed in <older>
    And no gateway lists the engines of <hidden>
    When <kept> is kept from the news that they are placed in <newer>
    And a caller of <entry> asks while they disagree
    Then it is <outcome>
    And the regions that refused it did so once: <refusing>

    Examples:
      | kept            | older          | newer | hidden     | entry           | outcome                    | refusing       |
      | east-gateway-1  | south          | east  | its region | east-gateway-1  | refused: no-backend-server | east and south |
      | east-gateway-1  | south          | east  | its region | south-gateway-1 | refused: no-backend-server | east and south |
      | south-gateway-1 | west           | south | its region | south-gateway-1 | refused: no-backend-server | south and west |
      | south-gateway-1 | west           | south | its region | west-gateway-1  | refused: no-backend-server | south and west |
      | east-gateway-1  | west           | east  | south      | east-gateway-1  | answered once              | none           |
      | east-gateway-1  | west and south | west  | west       | east-gateway-1  | answered once              | west or none   |
